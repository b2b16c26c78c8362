"""Start, signals and end of a process."""
