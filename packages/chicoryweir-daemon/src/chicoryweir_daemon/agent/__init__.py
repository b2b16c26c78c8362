"""Agent daemon: runs attempts at the endpoint on its host."""
