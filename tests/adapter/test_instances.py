import asyncio
import contextlib
import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platform_builders import encode, make_instance
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from bulrushbend.core.errors import PeerError, PeerTimeoutError
from bulrushbend.gateway.endpoint_validation import check_address
from bulrushbend.platform import instances
from bulrushbend.platform.instances import (
    InstanceList,
    decode_damaged_page,
    decode_page,
)

INVALID_ENTRIES = [
    None,
    "i-1",
    make_instance(slots="64"),
    make_instance(slots=True),
    make_instance(state="resting"),
    make_instance(addr="nowhere"),
    make_instance(id=""),
    {"id": "i-1"},
    make_instance(id="i 1"),
    make_instance(id="\u00e9"),
    make_instance(id="\ud800"),
    make_instance(id="i" * 256),
    make_instance(id={"x": []}),
    make_instance(addr="10.128.0.9:0"),
    make_instance(addr="10.128.0.9:99999"),
    make_instance(addr="10.128.0.9:\u00b2"),
    make_instance(addr="10.128.0.9:" + 5000 * "1"),
    make_instance(addr="10.128.0.999:8080"),
    make_instance(addr="a..b:8080"),
    make_instance(addr="a\0b:8080"),
    make_instance(addr=["10.128.0.9", 8080]),
    make_instance(zone=None),
    make_instance(state=["ready"]),
    make_instance(state={}),
    make_instance(slots=0),
    make_instance(slots=64.0),
    make_instance(slots=10**40),
    make_instance(born="1700000000000"),
    make_instance(born=1.7e12),
    make_instance(born=10**20),
    make_instance(born=-1),
    make_instance(born=None),
]


@pytest.mark.parametrize("entry", INVALID_ENTRIES, ids=range(len(INVALID_ENTRIES)))
def test_invalid_entry_is_skipped(entry):
    # Guards against one invalid entry that hides the other endpoints of the page.
    page = decode_page(encode({"instances": [entry, make_instance("i-2")]}))
    assert [endpoint.id for endpoint in page.endpoints] == ["i-2"]
    assert len(page.invalid) == 1


def nested(depth):
    return b"[" * depth + b"]" * depth


def nested_objects(depth):
    return b'{"x":' * depth + b"1" + b"}" * depth


def with_field(name, value):
    """Return a valid entry with one more field, which is already encoded."""
    return encode(make_instance("i-1"))[:-1] + b',"%s":%s}' % (name.encode(), value)


UNREADABLE_ENTRIES = {
    "nested": nested(5_000),
    "nested objects": nested_objects(100_000),
    "nested field of another name": with_field("x", nested(5_000)),
    "nested objects in a field": with_field("x", nested_objects(5_000)),
    "number with too many digits": with_field("born", b"1" * 5_000),
    "not UTF-8": with_field("x", b'"\xff"'),
    "not UTF-8 and no JSON": b"\x00\xff\xfe",
    "control character": with_field("x", b'"\x01"'),
    "key twice": with_field("id", b'"i-9"'),
    "not a number": with_field("x", b"NaN"),
    "not JSON": with_field("x", b"nothing"),
    "brackets in a string": with_field("x", b'"\xff]}]}\\"[{,\\\\"'),
    "missing": b"",
    "cut short in a string": encode(make_instance("i-9"))[:60],
    "cut short after a bracket": b'{"id":"i-9","x":[',
    "cut short in a nested object": b'{"id":"i-9","x":{"y":"',
    "open string": b'"i-9',
    "open bracket": b"[1",
    "brackets without an opening": b"}]}",
}


@pytest.mark.parametrize(
    "unreadable", UNREADABLE_ENTRIES.values(), ids=UNREADABLE_ENTRIES.keys()
)
@pytest.mark.parametrize("position", [0, 1, 2])
async def test_unreadable_entry_is_skipped(unreadable, position):
    # Guards against one entry that keeps the gateways from reading the whole list.
    entries = [encode(make_instance(f"i-{number}")) for number in (2, 3)]
    entries.insert(position, unreadable)
    content = b'{ "x": [], "next": null, "instances" : [%s] }' % b" , ".join(entries)
    found, _ = await fetch({"": (200, content)})
    assert [endpoint.id for endpoint in found] == ["i-2", "i-3"]


@given(st.binary(max_size=40), st.integers(0, 200), st.integers(0, 40))
def test_damaged_page_raises_only_expected_errors(inserted, position, removed):
    # Guards against an error that the reader of the list does not expect.
    entries = [encode(make_instance(f"i-{number}")) for number in (1, 2)]
    content = b'{"instances":[%s],"next":null}' % b",".join(entries)
    content = content[:position] + inserted + content[position + removed :]
    for decode in (decode_page, decode_damaged_page):
        with contextlib.suppress(ValueError, RecursionError):
            for endpoint in decode(content).endpoints:
                assert check_address(endpoint.address)
                assert endpoint.id.isprintable() and endpoint.slots >= 1


def test_entry_is_decoded():
    # Guards against wrong values of decoded fields.
    page = {"instances": [make_instance(state="draining", born=1700000000000)]}
    endpoint = decode_page(encode(page)).endpoints[0]
    assert endpoint.is_leaving
    assert endpoint.started_ms == 1700000000000
    assert endpoint.data_centre == "papantla"


class Pages(RequestHandler):
    def initialize(self, pages, calls):
        self.pages = pages
        self.calls = calls

    def get(self):
        token = self.get_argument("page_token", "")
        self.calls.append(token)
        status, body = self.pages[token]
        self.set_status(status)
        self.write(body)


@contextlib.contextmanager
def serving(pages, calls, handler=None):
    route = ("/instances", Pages, {"pages": pages, "calls": calls})
    if handler is not None:
        route = ("/instances", handler)
    server = HTTPServer(Application([route]))
    listener, port = bind_unused_port()
    server.add_sockets([listener])
    try:
        yield InstanceList(f"127.0.0.1:{port}", 40.0)
    finally:
        server.stop()


async def fetch(pages, calls=None):
    with serving(pages, [] if calls is None else calls) as source:
        return await source.fetch()


def page(*names, following=None):
    instances = [make_instance(name) for name in names]
    return 200, json.dumps({"instances": instances, "next": following})


@pytest.mark.parametrize("position", [0, 1, 2])
@pytest.mark.parametrize(
    "layout",
    [
        b'{"next":"p2","instances":[%s]}',
        b'{"instances":[%s],"next":"p2"}',
    ],
)
async def test_pages_after_one_with_an_entry_that_is_cut_short_are_read(
    layout, position
):
    # Guards against an entry that hides the endpoints of all other pages (review/4).
    entries = [encode(make_instance(f"i-{number}")) for number in (2, 3)]
    entries.insert(position, encode(make_instance("i-9"))[:60])
    first = layout % b",".join(entries)
    found, calls = await fetch({"": (200, first), "p2": page("i-4")})
    assert [endpoint.id for endpoint in found] == ["i-2", "i-3", "i-4"]
    assert calls == 2


def test_page_that_is_damaged_throughout_is_given_up():
    # Guards against a page that takes the processor time of all requests.
    content = b'{"instances":[%s],"next":null}' % (b'{"a":[{"b":' * 150_000)
    began_s = time.process_time()
    with pytest.raises(ValueError, match="damaged"):
        decode_damaged_page(content)
    assert time.process_time() - began_s < 3.0


async def test_all_pages_are_read():
    # Guards against endpoints that are missed because later pages are not read.
    pages = {"": page("i-1", following="p 2"), "p 2": page("i-2")}
    found, calls = await fetch(pages)
    assert [endpoint.id for endpoint in found] == ["i-1", "i-2"]
    assert calls == 2


@pytest.mark.parametrize(
    "answer",
    [
        (429, ""),
        (200, "{"),
        (200, "[]"),
        (200, '{"instances": 3}'),
        (200, b'{"instances": [\xff'),
        (200, b'{"instances": [\xff], "next": null} {'),
        (200, b'{"instances": [\xff], "instances": []}'),
        (200, b'{"instances": [\xff], "next": [}'),
        (200, b'{"instances": [\xff, "]}'),
        (200, '{"instances": [], "next": 3}'),
        (200, '{"instances": [], "next": {"x": 1}}'),
        (200, r'{"instances": [], "next": "\ud800"}'),
        (200, '{"instances": [], "next": "%s"}' % (2000 * "x")),
        (200, '{"instances": [], "next": "x"}'),
        (200, '{"instances": ["%s"]}' % ((1 << 21) * "x")),
    ],
    ids=range(15),
)
async def test_incomplete_list_is_an_error(answer):
    # Guards against a partial list that makes the missing endpoints look removed.
    calls = []
    with pytest.raises(PeerError):
        await fetch({"": page("i-1", following="x"), "x": answer}, calls)
    assert calls == ["", "x"]


class SlowPages(RequestHandler):
    async def get(self):
        for _ in range(200):
            self.write(" ")
            await self.flush()
            await asyncio.sleep(0.05)


async def test_page_that_arrives_byte_by_byte_is_an_error(monkeypatch):
    # Guards against a read of the list that takes hours, while the list gets old.
    monkeypatch.setattr(instances, "_PAGE_TIMEOUT_MS", 300.0)
    with serving({}, [], SlowPages) as source:
        async with asyncio.timeout(3):
            with pytest.raises(PeerTimeoutError):
                await source.fetch()


async def test_pages_that_are_too_large_together_are_an_error():
    # Guards against a gateway that uses up its memory for a list that goes on.
    pages = {"": page(following="0")}
    for number in range(20):
        entries, following = [(1 << 20) * "x"], str(number + 1)
        pages[str(number)] = 200, json.dumps({"instances": entries, "next": following})
    with pytest.raises(PeerError):
        await fetch(pages, calls := [])
    assert len(calls) < 20


async def test_invalid_entry_is_logged_once_while_it_stays(caplog):
    # Guards against a log that one invalid entry fills, with a line for each read.
    pages = {}
    with serving(pages, []) as source:
        for slots in (0, 0, 5, 0):
            entries = [make_instance("i-1"), make_instance("i-9", slots=slots)]
            pages[""] = 200, json.dumps({"instances": entries})
            await source.fetch()
    assert caplog.text.count("skipped the entry id='i-9'") == 2


LIST_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nA: ", b"x" * 65_536),
        (LIST_HEAD, b"10000\r\n" + b"x" * 65_536 + b"\r\n"),
        (LIST_HEAD + b"2\r\n{}\r\n0\r\n", b"x" * 65_536),
    ],
)
async def test_list_without_end_is_given_up(start, piece):
    # Guards against a platform whose bytes exhaust the memory of every gateway.
    sent = 0

    async def respond(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while sent < 1 << 25:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server:
        with pytest.raises(PeerError):
            await InstanceList(f"{host}:{port}", 1_000.0).fetch()
    assert sent < 1 << 24


def test_descriptions_of_invalid_entries_are_bounded():
    # Guards against a list of entries whose descriptions exhaust the memory.
    entries = ",".join(map(str, range(20_000)))
    page = decode_page(f'{{"instances": [{entries}], "next": null}}'.encode())
    assert 0 < len(page.invalid) <= 256
