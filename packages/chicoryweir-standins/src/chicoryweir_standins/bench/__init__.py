"""Measures the running system and compares the results with targets."""
