"""Typed messages and links between the daemons."""
