"""Long randomised run of real processes, with invariants checked at its end."""
