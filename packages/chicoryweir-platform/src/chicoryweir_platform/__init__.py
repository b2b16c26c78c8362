"""HTTP clients of the platform's table, objects, weight store and instance list."""
