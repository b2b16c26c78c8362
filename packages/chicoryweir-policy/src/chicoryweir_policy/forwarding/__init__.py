"""Decisions of an entry that sends requests directly to endpoints, without agents."""
