"""Instances of the fleet and the links between daemons."""
