"""Rendezvous hashing: all processes rank the same names for a key in the same order."""

import functools
import hashlib
from collections.abc import Iterable

# Odd multiplier near 2 ** 64 divided by the golden ratio, which spreads the values of
# similar factors (Knuth, The Art of Computer Programming, volume 3, section 6.4).
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


@functools.lru_cache(maxsize=100_000)
def rendezvous_rank(key: str, name: str) -> bytes:
    """Return the rank of a name for a key; the name with the highest rank is chosen."""
    return _hash(f"{key}/{name}")


class RendezvousNames:
    """Names of which one is chosen for each key.

    A choice takes one hash and a multiplication for each name, while `rendezvous_rank`
    takes a hash for each name.

    Parameters
    ----------
    names : iterable of str
        At least one name; their order has no effect.
    """

    def __init__(self, names: Iterable[str]):
        self._names = sorted(names)
        self._hashes = [_hash_number(name) for name in self._names]

    def choose(self, key: str) -> str:
        """Return the name with the highest rank for a key."""
        number = _hash_number(key)
        ranks = [(entry ^ number) * _MULTIPLIER & _MASK for entry in self._hashes]
        return self._names[ranks.index(max(ranks))]


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _hash_number(text: str) -> int:
    return int.from_bytes(_hash(text), "big")
