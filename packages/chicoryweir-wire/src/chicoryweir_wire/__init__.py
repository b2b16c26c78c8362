"""Message codec and authenticated links between the daemons."""
