"""Controls the expert maps of all groups, on one entry of the fleet at a time."""
