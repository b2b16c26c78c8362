"""Checks of callers' requests, from bytes to a request that can be decided on."""
