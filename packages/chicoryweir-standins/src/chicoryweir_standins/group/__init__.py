"""Lock-step group of the engines' stand-ins: the barrier between its ranks."""
