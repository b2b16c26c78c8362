"""Retry budget, backoff and hedging."""
