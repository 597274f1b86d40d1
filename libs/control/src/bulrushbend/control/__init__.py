"""Control daemon: replicated manifest and idempotency keys, and membership."""
