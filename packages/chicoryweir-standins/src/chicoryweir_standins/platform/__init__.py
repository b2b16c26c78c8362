"""Stand-in of the platform: table, objects, instance list and weight store."""
