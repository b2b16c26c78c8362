"""Randomised run of real processes with faults, checked against invariants."""
