"""Durable log, snapshots and consensus replica."""
