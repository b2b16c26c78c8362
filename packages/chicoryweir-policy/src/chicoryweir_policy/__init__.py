"""Decisions of the load balancer as pure functions and sans-I/O cores."""
