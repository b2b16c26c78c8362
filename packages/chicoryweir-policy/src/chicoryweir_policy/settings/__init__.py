"""Settings: document schema, inheritance, validation and versions."""
