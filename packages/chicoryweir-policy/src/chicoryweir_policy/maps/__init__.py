"""Expert maps: expert popularity, placement, and changes between maps."""
