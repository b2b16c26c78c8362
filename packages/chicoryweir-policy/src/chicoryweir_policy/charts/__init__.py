"""State charts and their interpreter."""
