"""Placement of models, adapters and roles on endpoints."""
