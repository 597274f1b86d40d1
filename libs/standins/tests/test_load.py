import pytest
from pydantic import ValidationError

from bulrushbend.standins.engine import Engine
from bulrushbend.standins.faults import Fault
from bulrushbend.standins.load.call import extract_nonces
from bulrushbend.standins.load.report import format_report, quantiles
from bulrushbend.standins.load.run import LoadRun
from bulrushbend.standins.load.settings import LoadSettings
from bulrushbend.standins.settings import EngineSettings

TEAMS = [
    {"name": "crew-a", "token": "a", "weight": 3},
    {"name": "crew-b", "token": "b"},
]
COST = {"kind": "log-uniform", "low_ms": 1, "high_ms": 20}


def build_settings(address, **fields):
    base = {"routers": [address], "service": "flor-llm", "tokens": 4, "cost": COST}
    return LoadSettings.model_validate(base | {"teams": TEAMS} | fields)


async def run_against_engine(faults=(), **fields):
    engine = Engine(EngineSettings(faults=faults))
    engine.start()
    report = await LoadRun(build_settings(engine.server.address, **fields)).run()
    engine.stop()
    return report, engine


@pytest.mark.parametrize("mode", ["closed", "open"])
@pytest.mark.parametrize("stream", [False, True])
async def test_every_request_gets_its_own_answer(mode, stream):
    report, engine = await run_against_engine(
        mode=mode, stream=stream, requests=30, rate_per_s=500
    )
    assert (report.sent, report.answered, report.wrong) == (30, 30, ())
    assert engine.runs.total == 30
    assert all(team.total.samples for team in report.teams)


async def test_load_stops_after_its_duration():
    report, _ = await run_against_engine(duration_ms=200, requests=100_000)
    assert 0 < report.sent < 1000
    assert report.duration_ms < 1000


@pytest.mark.parametrize("stream", [False, True])
async def test_answer_of_another_request_is_reported_as_wrong(stream):
    crossed = Fault(kind="crossed")
    report, _ = await run_against_engine((crossed,), stream=stream, requests=5)
    assert (report.answered, len(report.wrong)) == (4, 1)
    assert "got of-another-request" in format_report(report)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b'{"choices": []}',
        b'{"choices": [{"message": {"content": "begin:n t0 t1 t3 end:n"}}]}',
        b'{"choices": [{"message": {"content": "begin:n t0 t0 t1 t2 t3 end:n"}}]}',
        b'{"choices": [{"message": {"content": 7}}]}',
    ],
)
def test_incomplete_answer_is_rejected(body):
    with pytest.raises(ValueError):
        extract_nonces(build_settings("127.0.0.1:1"), body)


def test_quantiles_use_the_nearest_rank():
    assert quantiles(range(1, 101)).p99_ms == 99
    assert quantiles([]).p50_ms is None


@pytest.mark.parametrize(
    "fields",
    [
        {"cost": {"kind": "log-uniform", "low_ms": 9, "high_ms": 1}},
        {"teams": [*TEAMS, TEAMS[0]]},
        {"teams": [{**TEAMS[0], "routers": [1]}]},
        {"requests": 0},
    ],
)
def test_unbounded_or_contradictory_load_is_rejected(fields):
    with pytest.raises(ValidationError):
        build_settings("127.0.0.1:1", **fields)
