"""Deterministic core of an agent."""
