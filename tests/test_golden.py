import random

import pytest
from golden import render_session

from bulrushbend.cli.timeline import Event

STEPS = [
    ("router-1", "process-started", {}),
    ("router-1", "request-queued", {"request_id": "q"}),
    ("agent-1", "claim-sent", {"attempt_id": "a", "peer": "router-1"}),
    ("router-1", "attempt-sent", {"attempt_id": "a", "request_id": "q"}),
    ("agent-1", "attempt-started", {"attempt_id": "a", "request_id": "q"}),
    ("agent-1", "attempt-finished", {"attempt_id": "a", "cost_ms": 3.5}),
    ("router-1", "attempt-finished", {"attempt_id": "a", "request_id": "q"}),
    ("router-1", "request-answered", {"request_id": "q"}),
]


def build_events(skew_ms=0, tag=""):
    sequences = {}
    events = []
    for step, (process, kind, details) in enumerate(STEPS):
        sequences[process] = sequences.get(process, 0) + 1
        wall_ms = 1000 + step + (skew_ms if process == "agent-1" else 0)
        named = {
            key: value + tag if key.endswith("_id") else value
            for key, value in details.items()
        }
        events.append(Event(wall_ms, process, 7, sequences[process], kind, named))
    return events


@pytest.mark.parametrize("seed", range(5))
def test_text_is_independent_of_clocks_and_ids(seed):
    # Guards against snapshots that change with clock skew, ids or interleaving.
    expected = render_session(build_events())
    skewed = build_events(skew_ms=-5000, tag=str(seed))
    by_process = {}
    for event in skewed:
        by_process.setdefault(event.process, []).append(event)
    interleaved = []
    generator = random.Random(seed)
    while by_process:
        process = generator.choice(sorted(by_process))
        interleaved.append(by_process[process].pop(0))
        if not by_process[process]:
            del by_process[process]
    assert render_session(interleaved) == expected


def test_missing_or_repeated_event_changes_the_text():
    # Guards against a text form that hides lost or repeated events.
    events = build_events()
    expected = render_session(events)
    assert render_session(events[:-1]) != expected
    assert render_session([*events, events[4]]) != expected
