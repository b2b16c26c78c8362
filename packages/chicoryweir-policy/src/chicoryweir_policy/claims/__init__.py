"""Claims that keep a non-idempotent request to one run."""
