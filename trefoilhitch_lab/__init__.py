"""Simulated platform, fault injection, load generator, demo and bench."""
