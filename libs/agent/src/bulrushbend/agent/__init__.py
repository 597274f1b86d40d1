"""Agent daemon."""
