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
# The start of an object in an array, and what follows an element of one.
_OBJECT_START = re.compile(rb"[\[,]\s*+(?=\{)")
_ELEMENT_END = re.compile(rb"\s*+[,\]]")
# Bounds the time spent on content that is damaged throughout.
_MAX_DAMAGED_OBJECTS = 1_000
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


def find_objects(content: bytes, max_bytes: int) -> tuple[list[bytes], list[bytes]]:
    """Return the elements of a damaged JSON array that are objects, still encoded.

    An element whose quotation marks or brackets are not paired hides where it ends.
    The search goes on at the next place where an object may start, which can also be a
    part of the damaged one.

    Parameters
    ----------
    content : bytes
        The array, from its opening bracket.
    max_bytes : int
        Maximum size of an object.

    Returns
    -------
    found : list of bytes
        The objects that can be decoded.
    damaged : list of bytes
        Starts of those that cannot.

    Raises
    ------
    ValueError
        Too many objects are damaged.
    """
    found: list[bytes] = []
    damaged: list[bytes] = []
    decoder = json.JSONDecoder()
    position = 0
    while match := _OBJECT_START.search(content, position):
        start = match.end()
        encoded = content[start : start + max_bytes]
        try:
            # One character a byte, so that positions agree.
            _, size = decoder.raw_decode(encoded.decode("latin-1"))
        except (ValueError, RecursionError):
            size = 0
        if size and _ELEMENT_END.match(content, start + size):
            found.append(encoded[:size])
            position = start + size
            continue
        damaged.append(encoded)
        if len(damaged) > _MAX_DAMAGED_OBJECTS:
            raise ValueError(f"more than {_MAX_DAMAGED_OBJECTS} objects are damaged")
        position = start
    return found, damaged


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
