"""Stand-in for a model engine with continuous batching."""
