"""Slopes of processor time and memory, from which larger sizes are worked out."""
