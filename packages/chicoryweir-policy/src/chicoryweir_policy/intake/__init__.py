"""Validation and parsing of callers' requests."""
