"""Which endpoints hold which models, adapters and roles."""
