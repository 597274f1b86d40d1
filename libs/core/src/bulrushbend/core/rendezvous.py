"""Rendezvous hashing: all processes rank the same names for a key in the same order."""

import functools
import hashlib


@functools.lru_cache(maxsize=100_000)
def rendezvous_rank(key: str, name: str) -> bytes:
    """Return the rank of a name for a key; the name with the highest rank is chosen."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
