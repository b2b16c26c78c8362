"""Demonstrates the whole path of a request on loopback, step by step."""
