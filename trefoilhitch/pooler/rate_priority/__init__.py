"""Order in which statements of different priorities spend a rate."""
