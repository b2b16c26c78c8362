"""Tasks that both roles run."""
