"""Duties that one entry at a time has for the whole fleet."""
