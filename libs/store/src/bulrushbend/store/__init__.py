"""Replicated state machine: durable log, snapshots and consensus."""
