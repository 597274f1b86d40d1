import math

import pytest

from bulrushbend.bench.agent_costs import Latency, RequestCost
from bulrushbend.bench.costs import flatten_columns
from bulrushbend.bench.placement_costs import build_rig, placement_cost
from bulrushbend.bench.registry import load_commands
from bulrushbend.bench.relay_costs import measure_relay
from bulrushbend.bench.sweep import run_sweep


def test_slope_table_and_files(tmp_path):
    # Guards against a fit or a table that drops repeats.
    noise = iter([0.5, -0.5] * 4)
    sweep = run_sweep(
        "bytes", "agents", [1, 2, 5, 10], lambda n: {"b": 3 * n + next(noise)}, 2
    )
    slope = sweep.slope("b")
    assert slope.per_unit == pytest.approx(3.0)
    assert 0.0 < slope.standard_error < 0.2
    table = sweep.save(tmp_path)
    assert "| 10 | 30 ± 0.5 |" in table
    assert {path.name for path in tmp_path.iterdir()} == {
        "bytes.md",
        "bytes.csv",
        "bytes.png",
    }
    assert len((tmp_path / "bytes.csv").read_text().splitlines()) == 9


def test_slope_of_two_values_has_no_standard_error():
    sweep = run_sweep("x", "n", [1, 2], lambda n: {"v": n}, repeats=1)
    assert math.isnan(sweep.slope("v").standard_error)


def test_commands_are_registered():
    # Guards against a sweep that the command line neither lists nor runs.
    sweeps = {"policy", "accounting", "messages", "relay"}
    sweeps |= {"control", "router", "agent", "placement-cost"}
    assert load_commands().keys() == sweeps | {"all"}


def test_relay_sends_each_agent_the_records_of_the_others():
    # Guards against a sweep that measures empty messages.
    cost = measure_relay(3, teams=2)
    received = cost["received bytes of the router"]
    assert cost["sent bytes of the router"] == pytest.approx(2 * received, rel=0.1)


def test_placement_is_measured_at_small_sizes(tmp_path):
    # Guards against a command that measures requests which are never placed.
    table = placement_cost(repeats=1, requests=100, small=True, folder=str(tmp_path))
    assert table.splitlines()[0].split(" | ")[1:] == [
        "apply a brief report us",
        "place a request us",
        "place a new prompt us",
        "admission pass us |",
    ]
    assert len([line for line in table.splitlines() if line[:3] in ("| 8", "| 2")]) == 2
    rig = build_rig(25, 22, 100, seed=1)
    endpoints = rig.directory.of_service("flor-llm")
    chosen = [rig.placer.choose(d, endpoints, 1.0) for d in rig.demands]
    assert sum(choice is not None for choice in chosen) > 50
    assert rig.loads.totals()


def test_nested_costs_become_columns():
    # Guards against sizes among the costs, and against missing latencies.
    cost = RequestCost(4, 2, Latency(1.0, 2.0), Latency(3.0, 4.0), 5.0, 6.0)
    columns = flatten_columns(cost, ("chunks", "requests"))
    assert columns["through_agent chunk_lag_ms"] == 4.0
    assert list(columns.values()) == [1.0, 2.0, 3.0, 4.0, 5.0, 6.0]
