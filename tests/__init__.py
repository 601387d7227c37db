"""Tests of trefoilhitch and trefoilhitch_lab."""
