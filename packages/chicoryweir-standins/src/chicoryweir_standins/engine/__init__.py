"""Stand-in of a model engine with continuous batching."""
