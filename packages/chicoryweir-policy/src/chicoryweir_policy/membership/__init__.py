"""Live, leaving and dead instances."""
