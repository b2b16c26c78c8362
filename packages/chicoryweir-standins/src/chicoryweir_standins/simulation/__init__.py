"""Simulates cores of both roles in one process, with faults between them."""
