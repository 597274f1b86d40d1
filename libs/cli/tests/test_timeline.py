import json

import pytest
from cli_builders import event_line
from hypothesis import given
from hypothesis import strategies as st

from bulrushbend.cli.main import run
from bulrushbend.cli.timeline import chrome_trace, format_text, parse_event, read_logs


def write_logs(tmp_path, *logs):
    paths = [tmp_path / f"{index}.jsonl" for index in range(len(logs))]
    for path, lines in zip(paths, logs, strict=True):
        path.write_text("\n".join(lines) + "\n")
    return [str(path) for path in paths]


def test_unreadable_lines_are_reported_and_skipped(tmp_path, capsys):
    truncated = event_line()[:20]
    paths = write_logs(tmp_path, [event_line(), truncated, "[]"])
    assert run(["timeline", *paths]) == 0
    captured = capsys.readouterr()
    assert captured.out.count("request-queued") == 1
    assert f"{paths[0]}:2: not JSON, line skipped" in captured.err
    assert f"{paths[0]}:3: not a JSON object" in captured.err


def test_clock_stepping_back_does_not_reorder_events_of_a_process(tmp_path):
    first = [event_line(sequence=1, wall_ms=2000), event_line(sequence=2, wall_ms=1000)]
    other = [event_line(process="a1", wall_ms=1500)]
    events, _ = read_logs(write_logs(tmp_path, first, other))
    order = [(event.process, event.sequence) for event in events]
    assert order == [("a1", 1), ("r1", 1), ("r1", 2)]


def test_chrome_trace_pairs_request_spans(tmp_path):
    log = [
        event_line(request_id="q1", team="crew-a"),
        event_line(sequence=2, kind="request-answered", request_id="q1", wall_ms=1200),
    ]
    target = tmp_path / "trace.json"
    assert run(["timeline", *write_logs(tmp_path, log), f"--chrome={target}"]) == 0
    entries = json.loads(target.read_text())["traceEvents"]
    spans = [(e["ph"], e["id"], e["ts"]) for e in entries if e["ph"] in "be"]
    assert spans == [("b", "q1", 0), ("e", "q1", 200_000)]


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)
KEYS = st.sampled_from(["wall_ms", "process", "kind", "sequence", "team", "request_id"])


@given(changes=st.dictionaries(KEYS, json_values))
def test_any_json_line_is_parsed_or_gives_one_line_error(changes):
    line = json.dumps(json.loads(event_line()) | changes)
    try:
        event = parse_event(line)
    except ValueError as error:
        assert "\n" not in str(error)
        return
    assert len(format_text([event])[0].splitlines()) == 1
    json.dumps(chrome_trace([event]))


@given(line=st.text())
def test_random_text_raises_value_error(line):
    with pytest.raises(ValueError, match=r"JSON|missing"):
        parse_event(line)
