"""Expert maps of groups whose ranks execute orders sent by entries."""
