"""Tests of trefoilhitch and its lab."""
