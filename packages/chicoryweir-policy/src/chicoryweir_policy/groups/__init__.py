"""Leases and the switch of a group's expert map."""
