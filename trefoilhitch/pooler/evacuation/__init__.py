"""Evacuation of data centres: no statement reaches their endpoints."""
