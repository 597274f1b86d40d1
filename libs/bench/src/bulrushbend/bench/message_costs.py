"""Costs of documents and messages without sockets: bytes, memory and CPU time."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from bulrushbend.bench.registry import command
from bulrushbend.bench.sweep import DEFAULT_FOLDER, run_sweep
from bulrushbend.core.identity import new_id
from bulrushbend.core.manifest import Endpoint, Manifest, Service, Team, hash_token
from bulrushbend.store.state import State
from bulrushbend.wire.control_pb2 import Command
from bulrushbend.wire.documents import pack_manifest, unpack_manifest
from bulrushbend.wire.fleet_pb2 import (
    AgentBatch,
    Claim,
    FleetState,
    KeyRequest,
    Member,
    RouterBatch,
    RunningAttempt,
    StoredAnswer,
    TeamBacklog,
)

TEAM_COUNTS = (17, 170, 425, 850, 1700)
ENTRY_COUNTS = (1, 8, 32, 100, 400)
KEY_COUNTS = (300, 1000, 3000, 10_000)
MODEL_COUNT = 13
TEAMS_PER_ENDPOINT = 1700 / 750
ANSWER_BYTES = 1000
_INCARNATION = 115_000_000_000_000_000
_REPETITIONS = 5


def build_manifest(teams: int) -> Manifest:
    """Return a manifest with the ratio of endpoints to teams of the planned fleet."""
    names = [f"crew-{number}" for number in range(teams)]
    return Manifest(
        version=7,
        services=tuple(
            Service(name=f"model-{n}", kind="model") for n in range(MODEL_COUNT)
        ),
        teams=tuple(Team(name=n, token_sha256=hash_token(n)) for n in names),
        endpoints=tuple(
            Endpoint(
                name=f"engine-{number}",
                service=f"model-{number % MODEL_COUNT}",
                vm=f"vm-{number}",
                data_centre="papantla",
                slots=64,
            )
            for number in range(int(teams / TEAMS_PER_ENDPOINT))
        ),
    )


def measure_manifest(teams: int) -> dict[str, float]:
    """Measure the document of a manifest with `teams` teams."""
    manifest = build_manifest(teams)
    document = pack_manifest(manifest)
    return {
        "bytes": float(document.ByteSize()),
        "pack ms": _cpu_ms(lambda: pack_manifest(manifest)),
        "unpack ms": _cpu_ms(lambda: unpack_manifest(document, "bench")),
        "memory bytes": _measure_memory(lambda: unpack_manifest(document, "bench")),
    }


def measure_entries(count: int) -> dict[str, float]:
    """Measure messages with `count` entries of each kind."""
    ids = [new_id("att") for _ in range(count)]
    teams = [f"crew-{number}" for number in range(1000, 1000 + count)]
    backlog = RouterBatch(
        manifest_version=1400,
        backlog=[TeamBacklog(team=t, waiting=12, oldest_age_ms=2345) for t in teams],
    )
    claims = AgentBatch(
        manifest_version=1400,
        claims=[Claim(attempt_id=i, team=t) for i, t in zip(ids, teams, strict=True)],
    )
    running = AgentBatch(
        manifest_version=1400,
        running=[RunningAttempt(attempt_id=i, produced_bytes=80_000) for i in ids],
    )
    members = FleetState(changed=[_build_member(number) for number in range(count)])
    data = backlog.SerializeToString()
    return {
        "backlog bytes": float(backlog.ByteSize()),
        "claim bytes": float(claims.ByteSize()),
        "running bytes": float(running.ByteSize()),
        "member bytes": float(members.ByteSize()),
        "unpack backlog us": _cpu_ms(lambda: RouterBatch.FromString(data)) * 1000.0,
    }


def measure_state(keys: int) -> dict[str, float]:
    """Measure the replicated state with `keys` completed keys."""
    requests = [_build_key_request(number) for number in range(keys)]
    state = State()

    def fill() -> State:
        for request in requests:
            state.apply(Command(time_ms=1, record_key=request))
            request.answer.CopyFrom(_build_stored_answer())
            state.apply(Command(time_ms=2, complete_key=request))
        return state

    begin_ms = time.process_time_ns() / 1e6
    fill()
    fill_ms = time.process_time_ns() / 1e6 - begin_ms
    snapshot = state.snapshot()
    return {
        "snapshot bytes": float(len(snapshot)),
        "write out ms": _cpu_ms(state.snapshot, 1),
        "restore ms": _cpu_ms(lambda: State().restore(snapshot), 1),
        "apply two commands us": fill_ms * 1000.0 / keys,
    }


def _build_member(number: int) -> Member:
    return Member(
        name=f"engine-{number}",
        role="agent",
        incarnation=_INCARNATION + number,
        vm=f"vm-{number}",
        data_centre="papantla",
        region="region-1",
        link_address=f"10.1.{number // 250}.{number % 250}:7100",
        http_address=f"10.1.{number // 250}.{number % 250}:7101",
        endpoint=f"engine-{number}",
        service=f"model-{number % MODEL_COUNT}",
    )


def _build_key_request(number: int) -> KeyRequest:
    return KeyRequest(
        team="crew-1",
        service="rota-app",
        key=f"key-{number:012}",
        body_digest="0" * 64,
        owner="router-1",
        owner_incarnation=_INCARNATION,
        request_id=f"req-{number:016}",
    )


def _build_stored_answer() -> StoredAnswer:
    return StoredAnswer(status=200, body=b"x" * ANSWER_BYTES)


def _cpu_ms(action: Callable[[], object], times: int = _REPETITIONS) -> float:
    begin_ns = time.process_time_ns()
    for _ in range(times):
        action()
    return (time.process_time_ns() - begin_ns) / 1e6 / times


def _measure_memory(build: Callable[[], object]) -> float:
    """Return the memory in bytes of the object that `build` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        del built
        return float(used)
    finally:
        tracemalloc.stop()


@command("messages")
def messages(repeats: int = 3, folder: str = str(DEFAULT_FOLDER)) -> str:
    """Sweep manifests over teams, messages over entries and the state over keys."""
    target = Path(folder)
    plans = (
        ("manifest", "teams", TEAM_COUNTS, measure_manifest),
        ("messages", "entries", ENTRY_COUNTS, measure_entries),
        ("state", "keys", KEY_COUNTS, measure_state),
    )
    return "\n".join(
        run_sweep(
            name, size_name, sizes, lambda size, run=measure: run(int(size)), repeats
        ).save(target)
        for name, size_name, sizes, measure in plans
    )
