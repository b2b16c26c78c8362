"""Starts the daemons and the stand-ins as separate processes."""
