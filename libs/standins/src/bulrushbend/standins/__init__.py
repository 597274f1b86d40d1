"""Stand-in endpoints and load tool."""
