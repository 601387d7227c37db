"""Stand-ins of the platform, faults, load, demo and bench."""
