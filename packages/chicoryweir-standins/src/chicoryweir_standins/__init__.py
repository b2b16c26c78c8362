"""Stand-ins for external systems and the load tool; not shipped."""
