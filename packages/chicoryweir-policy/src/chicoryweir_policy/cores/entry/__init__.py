"""The core of an entry."""
