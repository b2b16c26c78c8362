"""Agent that forwards calls to a rank on its own machine at no cost to the group."""
