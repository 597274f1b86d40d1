"""Run a small fleet on loopback and send requests through it.

Usage: python examples/demo.py [--program build/bulrushbend] [--folder run/demo]
"""

import argparse
import json
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import tomli_w
from localfleet import (
    APPLICATION_SERVICE,
    MODEL_SERVICE,
    FleetError,
    FleetPlan,
    LocalFleet,
    fetch,
    token_of,
)

TEAMS = {"crew-a": 4.0, "crew-b": 2.0, "crew-c": 1.0}
LOAD_MS = 12_000
# The fairness gap excludes the start of the load, because teams are comparable only
# while all of them have waiting requests.
WARM_UP_MS = 2000
COST = {"kind": "log-uniform", "low_ms": 20.0, "high_ms": 600.0}
# More callers per team than slots, so that each team always has waiting requests.
CALLERS = 48


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", help="built program; by default the sources run")
    parser.add_argument("--folder", help="run folder; by default a temporary one")
    options = parser.parse_args()
    program = [options.program] if options.program else None
    folder = Path(options.folder or tempfile.mkdtemp(prefix="bulrushbend-demo-"))
    started = time.monotonic()
    try:
        with LocalFleet(folder, FleetPlan(teams=TEAMS), program) as fleet:
            failures = run_demo(fleet)
    except FleetError as error:
        print(f"demo: {error}", file=sys.stderr)
        return 1
    print_line(f"done in {time.monotonic() - started:.1f} s")
    for failure in failures:
        print(f"demo: {failure}", file=sys.stderr)
    if failures:
        print(f"demo: settings, logs and events are in {folder}", file=sys.stderr)
    elif not options.folder:
        shutil.rmtree(folder)
    return 1 if failures else 0


def run_demo(fleet: LocalFleet) -> list[str]:
    """Run all steps and return the failures."""
    start_fleet(fleet)
    failures = [
        *send_requests(fleet),
        *run_team_load(fleet),
        *send_booking_twice(fleet),
    ]
    codes = fleet.stop()
    print_line(f"stopped {len(codes)} processes with SIGTERM, exit codes {codes}")
    failures += [f"{name} exited with {code}" for name, code in codes.items() if code]
    return failures


def start_fleet(fleet: LocalFleet) -> None:
    fleet.start()
    fleet.wait_for("/healthz")
    print_line(f"{len(fleet.units)} processes run: {', '.join(fleet.units)}")
    result = fleet.publish(fleet.manifest(version=1))
    if result.returncode != 0:
        raise FleetError(f"publish: {result.stderr.strip()}")
    print_line(result.stdout.strip())
    fleet.wait_for("/readyz")


def send_requests(fleet: LocalFleet) -> list[str]:
    """Send one plain and one streamed request and return the failures."""
    failures = []
    for stream in (False, True):
        router = fleet.of_role("router")[int(stream)]
        document = {
            "model": MODEL_SERVICE,
            "messages": [{"role": "user", "content": "hello"}],
            "stream": stream,
            "x_tokens": 5,
            "x_nonce": f"hello-{stream}",
        }
        url = f"http://{router.http_address}/v1/chat/completions"
        headers = {"Authorization": f"Bearer {token_of('crew-a')}"}
        status, _, body = fetch(url, document, headers)
        text = body.decode().strip()
        print_line(
            f"{router.name} answers {status}, stream {stream}: ...{text[-90:]!r}"
        )
        if status != 200 or f"end:hello-{stream}" not in text:
            failures.append(f"request with stream {stream} got {status}: {text[:200]}")
    return failures


def run_team_load(fleet: LocalFleet) -> list[str]:
    """Run load of three teams with unequal shares and print the service of each."""
    routers = [unit.http_address for unit in fleet.of_role("router")]
    load = {
        "routers": routers,
        "service": MODEL_SERVICE,
        "stream": True,
        "cost": COST,
        "concurrency": CALLERS,
        "requests": 5000,
        "duration_ms": LOAD_MS,
        "answer_timeout_ms": 40_000,
        "teams": [{"name": name, "token": token_of(name)} for name in TEAMS],
    }
    path = fleet.folder / "settings" / "load.toml"
    path.write_text(tomli_w.dumps(load))
    print_line(
        f"{len(TEAMS)} teams with shares {TEAMS} send load for {LOAD_MS / 1000:.0f} s"
    )
    command = fleet.popen("load", f"--settings={path}", "--json")
    before, after = sample_status_under_load(fleet)
    output, errors = command.communicate(timeout=60)
    if command.returncode != 0:
        return [f"load exited with {command.returncode}: {errors.strip()} {output}"]
    report = json.loads(output)
    print_teams(report)
    print_fairness(before, after)
    print_utilisation(fleet.status(), before, after)
    return check_report(report)


def sample_status_under_load(
    fleet: LocalFleet,
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the status of the fleet after the warm-up and near the end of the load."""
    time.sleep(WARM_UP_MS / 1000)
    before = fleet.status()
    time.sleep((LOAD_MS - WARM_UP_MS) / 1000 - 2.0)
    return before, fleet.status()


def print_teams(report: dict[str, Any]) -> None:
    for team in report["teams"]:
        first, total = team["first_byte"], team["total"]
        print_line(
            f"{team['team']}: {team['outcomes']}, first byte p50/p99 "
            f"{first['p50_ms']}/{first['p99_ms']} ms, total p50/p99 "
            f"{total['p50_ms']}/{total['p99_ms']} ms"
        )


def print_fairness(before: dict[str, Any], after: dict[str, Any]) -> None:
    early, late = served_ms(before), served_ms(after)
    gained = {name: late[name] - early.get(name, 0.0) for name in late}
    per_share = {name: gained[name] / TEAMS[name] for name in gained}
    total = sum(gained.values())
    for name, value in sorted(gained.items()):
        part = 100.0 * value / total if total else 0.0
        expected = 100.0 * TEAMS[name] / sum(TEAMS.values())
        print_line(
            f"{name} got {part:.1f}% of the slot time, its share is {expected:.1f}%"
        )
    gap_ms = max(per_share.values()) - min(per_share.values()) if per_share else 0.0
    print_line(
        f"fairness gap {gap_ms:.0f} ms of slot time per share, "
        f"the largest request costs {COST['high_ms']:.0f} ms"
    )


def served_ms(status: dict[str, Any]) -> dict[str, float]:
    for service in status["services"]:
        if service["service"] == MODEL_SERVICE:
            return {team["team"]: team["served_ms"] for team in service["teams"]}
    return {}


def print_utilisation(
    end: dict[str, Any], before: dict[str, Any], after: dict[str, Any]
) -> None:
    early, late = endpoint_sums(before), endpoint_sums(after)
    usable, busy, idle = (b - a for a, b in zip(early, late, strict=True))
    if usable > 0:
        print_line(
            f"slots busy {100 * busy / usable:.1f}% of usable time, idle while "
            f"requests wait {100 * idle / usable:.2f}%"
        )
    for process in end["processes"]:
        print_line(
            f"{process['name']}: {process['control_bytes']} control bytes, "
            f"{process['cpu_ms']:.0f} ms processor time"
        )


def endpoint_sums(status: dict[str, Any]) -> tuple[float, float, float]:
    found = [e for e in status["endpoints"] if e["service"] == MODEL_SERVICE]
    keys = ("usable_ms", "busy_ms", "idle_while_waiting_ms")
    usable, busy, idle = (sum(e[key] for e in found) for key in keys)
    return usable, busy, idle


def check_report(report: dict[str, Any]) -> list[str]:
    failures = [f"wrong answer: {text}" for text in report["wrong"]]
    for team in report["teams"]:
        if set(team["outcomes"]) != {"answered"}:
            failures.append(f"{team['team']} had outcomes {team['outcomes']}")
    return failures


def send_booking_twice(fleet: LocalFleet) -> list[str]:
    """Send one keyed booking through both routers; it must run once."""
    key = "booking-17"
    headers = {
        "Authorization": f"Bearer {token_of('crew-b')}",
        "Idempotency-Key": key,
    }
    document = {"x_nonce": "seat-4", "x_cost_ms": 30}
    answers = []
    for router in fleet.of_role("router"):
        url = f"http://{router.http_address}/services/{APPLICATION_SERVICE}/bookings"
        status, _, body = fetch(url, document, headers)
        print_line(f"{router.name} answers {status}: {body.decode().strip()}")
        answers.append((status, body))
    application = fleet.of_role("application")[0]
    url = f"http://{application.http_address}/runs?key={key}"
    runs = json.loads(fetch(url)[2])["runs"]
    print_line(f"the application ran the booking {runs} time(s)")
    if runs != 1 or answers[0] != answers[1] or answers[0][0] != 200:
        return [f"booking ran {runs} times, answers {answers}"]
    return []


def print_line(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
