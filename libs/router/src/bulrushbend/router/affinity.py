"""Prefix affinity: prefers a request whose prompt prefix an agent served recently."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Any

from bulrushbend.router.request import CallerRequest

# Requests of one queue that a claim looks at, and how often one may be passed over.
LOOKAHEAD_REQUESTS = 8
MAX_TIMES_PASSED_OVER = 8
# Engines cache blocks of some 16 tokens (about 64 characters); three depths tell a
# shared system prompt from a shared conversation.
_PREFIX_LENGTHS_CHARACTERS = (256, 1024, 4096)
_MAX_PREFIXES = 4096


def prefix_hashes(document: Any) -> tuple[int, ...]:
    """Return hashes of the prompt's prefixes, shortest first.

    Parameters
    ----------
    document : JSON value
        Body of a completion request with ``messages`` or ``prompt``.

    Returns
    -------
    tuple of int
        One hash for each depth that the prompt reaches.
    """
    text = _prompt_text(document)
    return tuple(
        _hash_text(text[:length])
        for length in _PREFIX_LENGTHS_CHARACTERS
        if len(text) >= length
    )


def _prompt_text(document: Any) -> str:
    if not isinstance(document, dict):
        return ""
    prompt = document.get("prompt")
    if isinstance(prompt, str):
        return prompt[: _PREFIX_LENGTHS_CHARACTERS[-1]]
    messages = document.get("messages")
    if not isinstance(messages, list):
        return ""
    text = ""
    for message in messages:
        text += _message_text(message)
        if len(text) >= _PREFIX_LENGTHS_CHARACTERS[-1]:
            break
    return text


def _message_text(message: Any) -> str:
    if not isinstance(message, dict):
        return ""
    return f"{message.get('role')}\x00{message.get('content')}\x00"


def _hash_text(text: str) -> int:
    digest = hashlib.blake2b(text.encode(errors="replace"), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class RecentPrefixes:
    """Prefixes that one agent served recently, as far as this router knows."""

    def __init__(self) -> None:
        self._hashes: OrderedDict[int, None] = OrderedDict()

    def record(self, prefix: Iterable[int]) -> None:
        """Note that the agent serves a request with these prefix hashes."""
        for value in prefix:
            self._hashes[value] = None
            self._hashes.move_to_end(value)
        while len(self._hashes) > _MAX_PREFIXES:
            self._hashes.popitem(last=False)

    def matching_prefixes(self, prefix: Sequence[int]) -> int:
        """Return how many of the prefix hashes are known, from the shortest on."""
        known = 0
        for value in prefix:
            if value not in self._hashes:
                break
            known += 1
        return known


def choose_request(
    waiting: Iterable[CallerRequest], recent_prefixes: RecentPrefixes
) -> CallerRequest | None:
    """Choose the request of one queue that a claim takes.

    The oldest request with the deepest known prefix among the first `LOOK_AHEAD` is
    chosen. Each older one counts as passed over; one that was passed over
    `MOST_PASSES` times is not passed over again.

    Parameters
    ----------
    waiting : iterable of CallerRequest
        Requests of the queue, oldest first.
    recent : RecentPrefixes
        Prefixes of the claiming agent.
    """
    candidates: list[CallerRequest] = []
    for request in waiting:
        candidates.append(request)
        if (
            len(candidates) >= LOOKAHEAD_REQUESTS
            or request.passed_over >= MAX_TIMES_PASSED_OVER
        ):
            break
    if not candidates:
        return None
    chosen = max(
        candidates,
        key=lambda request: recent_prefixes.matching_prefixes(request.prefix),
    )
    for request in candidates:
        if request is chosen:
            break
        request.passed_over += 1
    return chosen
