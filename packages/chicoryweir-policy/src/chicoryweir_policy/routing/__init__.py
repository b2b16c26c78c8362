"""Selection of an endpoint for a request."""
