"""The core of an agent."""
