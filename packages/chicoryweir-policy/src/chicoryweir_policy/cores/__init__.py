"""Deterministic cores of the roles."""
