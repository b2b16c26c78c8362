"""Deterministic cores of entries and agents."""
