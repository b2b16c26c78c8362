"""Measurements of the running system beside their targets."""
