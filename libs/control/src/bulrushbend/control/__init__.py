"""Control daemon."""
