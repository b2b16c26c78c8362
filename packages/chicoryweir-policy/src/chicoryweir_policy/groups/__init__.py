"""Leases of lock-step groups and coordinated changes of their expert maps."""
