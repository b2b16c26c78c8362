"""Stand-in for the platform: table, objects, instance list and weight store."""
