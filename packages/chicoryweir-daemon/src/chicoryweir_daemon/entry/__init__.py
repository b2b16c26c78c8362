"""Entry daemon: accepts callers' requests and relays the answers."""
