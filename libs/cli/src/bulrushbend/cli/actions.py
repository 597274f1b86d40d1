"""Implementation of the commands, with their output and exit codes."""

import asyncio
import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bulrushbend.cli import daemons
from bulrushbend.cli.addresses import parse_addresses, parse_positive
from bulrushbend.cli.exits import ExitCode, UsageError
from bulrushbend.core.clock import Clock


def control(settings: str, bootstrap: bool) -> ExitCode:
    """Run a control replica."""
    daemons.run_control_daemon(settings, bootstrap)
    return ExitCode.OK


def router(settings: str) -> ExitCode:
    """Run a router."""
    daemons.run_router_daemon(settings)
    return ExitCode.OK


def agent(settings: str) -> ExitCode:
    """Run an agent."""
    daemons.run_agent_daemon(settings)
    return ExitCode.OK


def standin(kind: str, settings: str | None, options: Mapping[str, Any]) -> ExitCode:
    """Run a stand-in."""
    daemons.run_stand_in(kind, settings, options)
    return ExitCode.OK


def load(path: str, as_json: bool) -> ExitCode:
    """Send load and print the report; a wrong answer makes the command fail."""
    from bulrushbend.core.settings import load_settings
    from bulrushbend.standins.load.report import format_report
    from bulrushbend.standins.load.run import LoadRun
    from bulrushbend.standins.load.settings import LoadSettings

    settings = load_settings(path, LoadSettings)
    report = asyncio.run(LoadRun(settings).run())
    print(json.dumps(report.document()) if as_json else format_report(report))
    return ExitCode.FAILED if report.wrong else ExitCode.OK


def publish(
    path: str, control: str, timeout_ms: str, wait: bool, as_json: bool
) -> ExitCode:
    """Publish a manifest and print the outcome."""
    from bulrushbend.cli.publish import PublishResult, wait_in_force
    from bulrushbend.cli.publish import publish as send
    from bulrushbend.core.manifest import load_manifest

    addresses = parse_addresses(control, "--control")
    limit_ms = parse_positive(timeout_ms, "--timeout-ms")
    manifest = load_manifest(path)
    outcome = asyncio.run(send(addresses, manifest, limit_ms, Clock()))
    code = outcome.result.exit_code
    document = asdict(outcome)
    text = f"{outcome.result}: {outcome.message}"
    if wait and outcome.result is PublishResult.ACCEPTED:
        behind = asyncio.run(
            wait_in_force(addresses, manifest.version, limit_ms, Clock())
        )
        document["behind"] = behind
        if behind:
            code = ExitCode.UNAVAILABLE
            text += f"; not in force within {limit_ms:.0f} ms on {', '.join(behind)}"
        else:
            text += " and is in force on all processes"
    _print_outcome(document, text, code, as_json)
    return code


def status(control: str, timeout_ms: str, as_json: bool) -> ExitCode:
    """Print the status of the fleet."""
    from bulrushbend.cli.status import read_status
    from bulrushbend.cli.tables import format_status

    addresses = parse_addresses(control, "--control")
    limit_ms = parse_positive(timeout_ms, "--timeout-ms")
    state = asyncio.run(read_status(addresses, limit_ms))
    print(json.dumps(state.document()) if as_json else format_status(state))
    return ExitCode.OK


def voters(
    change: str, name: str, control: str, address: str, timeout_ms: str, as_json: bool
) -> ExitCode:
    """Change the voters of control and print the result."""
    from bulrushbend.cli.voters import change_voters

    addresses = parse_addresses(control, "--control")
    limit_ms = parse_positive(timeout_ms, "--timeout-ms")
    if change == "add-learner":
        parse_addresses(address, "--address")
    reply = asyncio.run(change_voters(addresses, change, name, address, limit_ms))
    code = ExitCode.OK if reply.accepted else ExitCode.CONFLICT
    document = {
        "accepted": reply.accepted,
        "message": reply.message,
        "voters": list(reply.voters),
        "learners": list(reply.learners),
    }
    text = f"voters {', '.join(reply.voters)}; learners {', '.join(reply.learners)}"
    text = text if reply.accepted else f"refused: {reply.message}"
    _print_outcome(document, text, code, as_json)
    return code


def timeline(logs: Sequence[str], chrome: str | None) -> ExitCode:
    """Merge event logs and print them, or write them as a Chrome trace."""
    from bulrushbend.cli.timeline import chrome_trace, format_text, read_logs

    if not logs:
        raise UsageError(
            "at least one event log is required, got none", step="timeline"
        )
    events, bad_lines = read_logs(logs)
    for bad_line in bad_lines:
        print(f"bulrushbend: timeline: {bad_line}", file=sys.stderr)
    if chrome is None:
        for line in format_text(events):
            print(line)
        return ExitCode.OK
    try:
        Path(chrome).write_text(json.dumps(chrome_trace(events)))
    except OSError as error:
        reason = error.strerror or str(error)
        raise UsageError(reason, step="--chrome", peer=chrome) from None
    return ExitCode.OK


def check_manifest(files: Sequence[str], as_json: bool) -> ExitCode:
    """Validate manifest files and print one line for each."""
    from bulrushbend.cli.checks import describe_manifest

    if not files:
        raise UsageError(
            "at least one manifest file is required, got none", step="check-manifest"
        )
    for file in files:
        found = describe_manifest(file)
        text = (
            f"{file}: valid, version {found['version']}, {found['services']} services, "
            f"{found['teams']} teams, {found['endpoints']} endpoints, "
            f"{found['slots']} slots, digest {found['digest'][:12]}"
        )
        print(json.dumps(found) if as_json else text)
    return ExitCode.OK


def check_settings(role: str, files: Sequence[str], as_json: bool) -> ExitCode:
    """Validate settings files and print one line for each."""
    from bulrushbend.cli.checks import describe_settings

    if not files:
        raise UsageError(
            "at least one settings file is required, got none", step="check-settings"
        )
    for file in files:
        found = describe_settings(role, file)
        print(json.dumps(found) if as_json else f"{file}: valid {role} settings")
    return ExitCode.OK


def _print_outcome(
    document: Mapping[str, Any], text: str, code: ExitCode, as_json: bool
) -> None:
    if as_json:
        print(json.dumps(document))
        return
    if code is ExitCode.OK:
        print(text)
    else:
        print(f"bulrushbend: {text}", file=sys.stderr)
