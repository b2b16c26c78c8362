"""Asyncio tasks shared by the entry and agent daemons."""
