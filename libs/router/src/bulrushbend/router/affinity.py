"""Prefix affinity: prefers requests whose prompt prefix an agent served recently."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Any

from bulrushbend.router.request import CallerRequest

# Requests at the head of a queue that a claim considers, and how often a request may
# be passed over for a later one.
LOOKAHEAD_REQUESTS = 8
MAX_TIMES_PASSED_OVER = 8
# Inference engines cache blocks of about 16 tokens (64 characters). Three prefix
# lengths distinguish a shared system prompt from a shared conversation.
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
        One hash for each prefix length that the prompt reaches.
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
    """LRU set of the prefix hashes of requests that this router sent to one agent."""

    def __init__(self) -> None:
        self._hashes: OrderedDict[int, None] = OrderedDict()

    def record(self, prefix: Iterable[int]) -> None:
        """Record the prefix hashes of a request that the agent serves."""
        for value in prefix:
            self._hashes[value] = None
            self._hashes.move_to_end(value)
        while len(self._hashes) > _MAX_PREFIXES:
            self._hashes.popitem(last=False)

    def matching_prefixes(self, prefix: Sequence[int]) -> int:
        """Return the number of leading hashes of `prefix` that are in the set."""
        known = 0
        for value in prefix:
            if value not in self._hashes:
                break
            known += 1
        return known


def choose_request(
    waiting: Iterable[CallerRequest], recent_prefixes: RecentPrefixes
) -> CallerRequest | None:
    """Choose the request of one queue that is assigned to a claim.

    Among the first `LOOKAHEAD_REQUESTS` requests the one with the longest known prefix
    is chosen, the oldest one of several. Each older request counts as passed over. The
    search stops at a request that has been passed over `MAX_TIMES_PASSED_OVER` times,
    so no request is delayed indefinitely.

    Parameters
    ----------
    waiting : iterable of CallerRequest
        Requests of the queue, oldest first.
    recent_prefixes : RecentPrefixes
        Prefixes that the claiming agent served recently.

    Returns
    -------
    CallerRequest or None
        The chosen request, None if the queue is empty.
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
