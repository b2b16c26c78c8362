"""Barrier between the ranks of a lock-step group of engine stand-ins."""
