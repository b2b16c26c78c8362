"""Load tool: sends open-loop load by class and workspace to several entries."""
