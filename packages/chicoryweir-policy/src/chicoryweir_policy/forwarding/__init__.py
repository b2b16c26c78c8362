"""Decisions of an entry that sends requests straight to the endpoints."""
