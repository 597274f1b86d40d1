"""Decoding of JSON documents of which some parts cannot be decoded."""

import json
import re
from typing import Any

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_BRACKETS = rb"\[++|\{++|\]++|\}++"
# The next brackets, after any strings; outside of all brackets also the next comma.
_NEXT_BRACKETS = re.compile(
    rb'(?:[^][{}"]++|' + _STRING + rb")*+(" + _BRACKETS + rb")", re.DOTALL
)
_NEXT_PART = re.compile(
    rb'(?:[^][{}",]++|' + _STRING + rb")*+(" + _BRACKETS + rb"|,)", re.DOTALL
)
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)


def read_json(content: bytes) -> Any:
    """Return the decoded JSON value.

    Raises
    ------
    ValueError
        The content is not valid JSON, a key appears twice in an object, or a number
        has too many digits.
    RecursionError
        The value is nested too deeply.
    """
    return json.loads(
        content.decode(),
        object_pairs_hook=_unique_keys,
        parse_constant=_reject_constant,
    )


def split_array(content: bytes) -> list[bytes]:
    """Return the elements of a JSON array, each still encoded.

    Neither depth nor validity of an element matters, as long as its brackets and
    quotation marks are paired.

    Raises
    ------
    ValueError
        The content is not an array, or it has no end.
    """
    return _split(content, b"[")


def split_object(content: bytes) -> dict[str, bytes]:
    """Return the values of a JSON object by key, each still encoded.

    Raises
    ------
    ValueError
        The content is not an object, it has no end, or one of its keys is invalid or
        appears twice.
    """
    members = []
    for part in _split(content, b"{"):
        match = _KEY.match(part)
        if match is None:
            raise ValueError("a member of the object has no key")
        members.append((read_json(match[1]), part[match.end() :]))
    return _unique_keys(members)


def _split(content: bytes, opening: bytes) -> list[bytes]:
    content = content.strip()
    if not content.startswith(opening):
        raise ValueError(f"expected {opening.decode()}, found {content[:10]!r}")
    parts: list[bytes] = []
    depth, start, position = 0, 1, 1
    while token := (_NEXT_BRACKETS if depth else _NEXT_PART).match(content, position):
        position = token.end()
        if token[1] == b",":
            parts.append(content[start : token.start(1)])
            start = position
        elif token[1][0] in b"[{":
            depth += len(token[1])
        else:
            depth -= len(token[1])
        if depth < 0:
            end = position + depth
            if content[end + 1 :].strip():
                raise ValueError("the document goes on after its end")
            last = content[start:end]
            return [*parts, last] if parts or last.strip() else []
    raise ValueError("the document has no end")


def _unique_keys(members: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(members)
    if len(found) < len(members):
        raise ValueError("a key appears twice in an object")
    return found


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON value")
