"""Gateway: routes requests of callers directly to discovered endpoints."""
