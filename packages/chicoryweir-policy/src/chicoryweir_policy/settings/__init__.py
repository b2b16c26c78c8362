"""The tree of settings: schema, inheritance, versions."""
