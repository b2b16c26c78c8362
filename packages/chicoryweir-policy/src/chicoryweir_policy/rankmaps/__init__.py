"""Expert maps of groups whose ranks take orders from entries."""
