"""Access to the platform's table, objects, weight store and instance list."""
