"""Gateway: routes callers' requests straight to discovered endpoints."""
