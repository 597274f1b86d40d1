"""TCP forwarder that drops, silences and delays connections on request."""

import asyncio
import contextlib
import enum
import functools
import threading
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from bulrushbend.core.settings import split_address

_CHUNK_BYTES = 65_536
# Number of look-ups of the source of a connection over its lifetime, and the interval
# between two. Reading the open files of a process is not atomic, so one look-up can
# miss a socket. The number is bounded because connections from outside the fleet are
# never found.
_MAX_LOOK_UPS = 4
_LOOK_UP_INTERVAL_S = 0.005


class Rule(enum.Enum):
    """What happens to the connections of a link."""

    PASS = "pass"
    # Open and new connections carry no data, and their end is not forwarded. This acts
    # like a network partition that drops packets, except that connecting succeeds.
    SILENT = "silent"
    # Open connections are aborted, new ones are closed immediately.
    DROP = "drop"


@dataclass(eq=False)
class Connection:
    """One forwarded connection.

    Its source is looked up only when a rule names a source: a look-up reads the open
    files of all processes, and that delay would count as idle time of slots.
    """

    target: str
    find_source: Callable[[], str]
    silent: bool = False
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    source: str = ""
    look_ups: int = 0

    async def identify(self) -> None:
        """Look up the source; repeat a look-up that found nothing."""
        while not self.source and self.look_ups < _MAX_LOOK_UPS:
            if self.look_ups:
                await asyncio.sleep(_LOOK_UP_INTERVAL_S)
            self.look_ups += 1
            self.source = self.find_source()

    def abort(self) -> None:
        self.closed.set()
        for writer in self.writers:
            writer.transport.abort()


class Network:
    """All forwarders of a fleet; one thread of the test process runs them.

    Parameters
    ----------
    identify : callable
        Returns the name of the process that made the connection from a client port
        to a server port, or "".
    """

    def __init__(self, identify: Callable[[int, int], str]):
        self._identify = identify
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._servers: dict[str, asyncio.Server] = {}
        self._starts: dict[str, Callable[[], Coroutine]] = {}
        self._connections: set[Connection] = set()
        self._rules: dict[tuple[str, str], Rule] = {}
        self._delay_ms = 0.0
        self._thread.start()

    def forward(self, target: str, listen: str, address: str) -> None:
        """Forward connections to the process `target` from `listen` to `address`."""

        async def serve(reader, writer):
            # asyncio reports a cancelled handler as an error; `close` cancels them.
            with contextlib.suppress(asyncio.CancelledError):
                await self._serve(target, address, reader, writer)

        async def start():
            host, port = split_address(listen)
            self._servers[target] = await asyncio.start_server(serve, host, port)

        self._starts[target] = start
        self._run_in_loop(start())

    def set_listening(self, target: str, is_listening: bool) -> None:
        """Accept or refuse new connections to `target`; open ones stay."""

        async def stop():
            self._servers.pop(target).close()

        if is_listening != (target in self._servers):
            self._run_in_loop(self._starts[target]() if is_listening else stop())

    def set_rule(self, rule: Rule, target: str, source: str = "") -> None:
        """Apply a rule to connections to `target` from `source`, or from any source."""

        async def change():
            self._rules[target, source] = rule
            if source:
                await self._find_sources(target)
            for connection in self._matching(target, source):
                if rule is Rule.DROP:
                    connection.abort()
                connection.silent = connection.silent or rule is Rule.SILENT

        self._run_in_loop(change())

    def silence_open(self, target: str, source: str = "") -> int:
        """Silence the open connections for their lifetime, and return their number.

        New connections are not affected.
        """

        async def change():
            if source:
                await self._find_sources(target)
            found = self._matching(target, source)
            for connection in found:
                connection.silent = True
            return len(found)

        return self._run_in_loop(change())

    def describe(self) -> str:
        """Return one line for each open connection, for failure messages."""

        async def read():
            return [
                f"{c.target} from {c.source or 'unknown'}:"
                f" {'silent' if c.silent else 'open'}, {c.look_ups} look-ups"
                for c in self._connections
            ]

        return "\n".join(sorted(self._run_in_loop(read())))

    def set_delay(self, delay_ms: float) -> None:
        """Delay all data by `delay_ms` in each direction."""
        self._delay_ms = delay_ms

    def heal(self) -> None:
        """Remove all rules and reset the silenced connections."""

        async def change():
            self._rules.clear()
            for connection in list(self._connections):
                if connection.silent:
                    connection.abort()

        self._run_in_loop(change())

    def close(self) -> None:
        async def stop():
            for server in self._servers.values():
                server.close()
            for connection in list(self._connections):
                connection.abort()
            own = asyncio.current_task()
            tasks = [task for task in asyncio.all_tasks() if task is not own]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self._run_in_loop(stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run_in_loop(self, coroutine: Coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _find_sources(self, target: str) -> None:
        """Look up the sources of the open connections to `target`.

        A rule for a source applies only to connections whose source is known.
        """
        to_target = [c for c in self._connections if c.target == target]
        await asyncio.gather(*(connection.identify() for connection in to_target))

    def _matching(self, target: str, source: str) -> list[Connection]:
        return [
            connection
            for connection in self._connections
            if connection.target == target and source in ("", connection.source)
        ]

    async def _rule_for(self, connection: Connection) -> Rule:
        target = connection.target
        default_rule = self._rules.get((target, ""), Rule.PASS)
        if not any(named == target and source for named, source in self._rules):
            return default_rule
        await connection.identify()
        return self._rules.get((target, connection.source), default_rule)

    async def _serve(self, target, address, reader, writer) -> None:
        ports = [writer.get_extra_info(end)[1] for end in ("peername", "sockname")]
        identify = functools.partial(self._identify, *ports)
        connection = Connection(target, identify, writers=[writer])
        rule = await self._rule_for(connection)
        connection.silent = rule is Rule.SILENT
        self._connections.add(connection)
        try:
            if rule is not Rule.DROP:
                await self._relay(connection, address, reader, writer)
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _relay(self, connection, address, reader, writer) -> None:
        try:
            upstream = await asyncio.open_connection(*split_address(address))
        except OSError:
            return
        connection.writers.append(upstream[1])
        async with asyncio.TaskGroup() as group:
            group.create_task(self._pump(connection, reader, upstream[1]))
            group.create_task(self._pump(connection, upstream[0], writer))

    async def _pump(self, connection, reader, writer) -> None:
        """Copy one direction, including the end of data; stop when it is silenced."""
        chunks: asyncio.Queue = asyncio.Queue()
        reader_task = asyncio.create_task(self._read_chunks(reader, chunks))
        try:
            with contextlib.suppress(OSError):
                await self._write_chunks(connection, chunks, writer)
        finally:
            reader_task.cancel()

    async def _read_chunks(self, reader, chunks: asyncio.Queue) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                data = None
            await chunks.put((loop.time() + self._delay_ms / 1000.0, data))
            if not data:
                return

    async def _write_chunks(self, connection, chunks: asyncio.Queue, writer) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, data = await chunks.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if connection.silent:
                await connection.closed.wait()
                return
            if data is None:
                connection.abort()
                return
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
