"""Stand-ins for outside systems, and the load tool; not shipped."""
