"""Stand-in endpoints and load generator."""
