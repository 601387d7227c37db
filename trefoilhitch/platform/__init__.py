"""Adapter to the users' platform: names, formats and requests, no decisions."""
