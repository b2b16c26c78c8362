"""Entry that forwards any HTTP request straight to the endpoints of a service."""
