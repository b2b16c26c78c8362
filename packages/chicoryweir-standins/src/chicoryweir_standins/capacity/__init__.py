"""Measures how the cost of idle daemons grows with the size of the fleet."""
