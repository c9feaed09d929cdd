"""Stand-ins of outside systems, and the load, demo and measurement tools."""
