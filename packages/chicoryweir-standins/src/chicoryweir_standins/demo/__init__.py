"""Demonstration: the whole path on loopback, told step by step."""
