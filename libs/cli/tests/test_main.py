import json
import sys

import pytest
import tomli_w
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bulrushbend.cli.main import run
from bulrushbend.core.manifest import hash_token

MANIFEST = f"""
version = 3
[[services]]
name = "flor-llm"
kind = "model"
[[teams]]
name = "crew-a"
token_sha256 = "{hash_token("secret-a")}"
"""
PROPERTY_SETTINGS = settings(
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["frob"], 2, "command 'frob' is not one of control, router"),
        (["_record_action", "x"], 2, "is not one of"),
        (["publish"], 2, "required argument: file"),
        (["publish", "none.toml", "--control=127.0.0.1:1"], 2, "No such file"),
        (["status", "--control", "nope"], 2, "host:port"),
        (["status", "--control", ","], 2, "host:port, got ','"),
        (["status", "--control", "127.0.0.1:1", "--jsn"], 2, "--jsn"),
        (["status", "--control", "127.0.0.1:1"], 4, "connection refused"),
        (["check-settings", "clerk", "x"], 2, "'clerk' is not one of control"),
        (["check_manifest"], 2, "at least one manifest file is required, got none"),
        (["check-manifest", "--json=maybe", "x"], 2, "true or false"),
        (["standin", "engine", "--slots", "x"], 2, "slots"),
        (["control", "none.toml"], 2, "No such file"),
        (["timeline", "--", "x"], 2, "'--'"),
    ],
)
def test_invalid_command_line_gives_one_line_and_an_exit_code(
    capsys, arguments, code, expected
):
    assert run(arguments) == code
    captured = capsys.readouterr()
    assert captured.out == ""
    assert captured.err.count("\n") == 1
    assert expected in captured.err


@pytest.mark.parametrize("name", ["check-manifest", "check_manifest"])
def test_command_name_accepts_dashes_and_underscores(tmp_path, capsys, name):
    path = tmp_path / "1.10"
    path.write_text(MANIFEST)
    assert run([name, "--json", str(path)]) == 0
    assert json.loads(capsys.readouterr().out)["version"] == 3


@pytest.mark.parametrize("arguments", [["--help"], ["publish", "--help"], []])
def test_help_is_printed_without_a_pager(capsys, arguments):
    assert run(arguments) == 0
    assert "SYNOPSIS" in capsys.readouterr().out


@PROPERTY_SETTINGS
@given(content=st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
@pytest.mark.parametrize(
    "command", [["check-manifest"], ["check-settings", "router"], ["publish"]]
)
def test_any_invalid_file_gives_one_line(tmp_path, capsys, command, content):
    path = tmp_path / "input"
    path.write_bytes(content)
    control = ["--control", "127.0.0.1:1"] if command == ["publish"] else []
    assert run([*command, str(path), *control]) == 2
    assert capsys.readouterr().err.count("\n") == 1


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=5,
)


@PROPERTY_SETTINGS
@given(
    key=st.sampled_from(["version", "limits", "services", "teams", "endpoints", "x"]),
    value=values,
)
def test_any_value_in_a_manifest_gives_at_most_one_line(tmp_path, capsys, key, value):
    path = tmp_path / "manifest.json"
    path.write_text(json.dumps({"version": 1, key: value}))
    code = run(["check-manifest", str(path)])
    assert code in (0, 2)
    assert capsys.readouterr().err.count("\n") == (1 if code else 0)


@PROPERTY_SETTINGS
@given(
    key=st.sampled_from(["name", "vm", "http_address", "control", "drain_ms", "x"]),
    value=values.filter(lambda value: value is not None),
)
def test_any_value_of_a_setting_gives_at_most_one_line(tmp_path, capsys, key, value):
    replica = {"name": "c1", "address": "127.0.0.1:1"}
    good = {"name": "r1", "vm": "v", "data_centre": "d", "control": [replica]}
    path = tmp_path / "router.toml"
    try:
        text = tomli_w.dumps(good | {"http_address": "127.0.0.1:1", key: value})
        path.write_text(text)
    except (TypeError, ValueError):
        # TOML has no null and no lone surrogates.
        return
    code = run(["check-settings", "router", str(path)])
    assert code in (0, 2)
    assert capsys.readouterr().err.count("\n") == (1 if code else 0)


def test_closed_pipe_gives_the_exit_code_of_sigpipe(monkeypatch):
    class ClosedOutput:
        def write(self, text):
            raise BrokenPipeError

        def flush(self):
            raise BrokenPipeError

        def fileno(self):
            return self.file.fileno()

    closed = ClosedOutput()
    with open("/dev/null", "w") as closed.file:
        monkeypatch.setattr(sys, "stdout", closed)
        assert run(["--help"]) == 141
