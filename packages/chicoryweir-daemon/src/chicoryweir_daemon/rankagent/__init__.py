"""Agent beside a rank of a group: passes calls on to it at no cost to the fleet."""
