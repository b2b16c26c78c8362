"""The agent daemon."""
