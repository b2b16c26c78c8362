"""Expert maps: popularity, placement and the worth of a change."""
