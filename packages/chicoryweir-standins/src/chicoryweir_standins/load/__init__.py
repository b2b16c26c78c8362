"""Load tool: open-loop arrivals by class and workspace, against several entries."""
