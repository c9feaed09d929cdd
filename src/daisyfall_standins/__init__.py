"""Stand-ins of external systems; tools for load, fault injection, demo and measurements."""
