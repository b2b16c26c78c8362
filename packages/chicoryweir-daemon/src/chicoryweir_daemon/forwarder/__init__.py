"""Entry that forwards HTTP requests directly to the endpoints of a service."""
