"""Command that runs all sweeps with small sizes."""

import time

from bulrushbend.bench.accounting_costs import accounting
from bulrushbend.bench.control_sweeps import control
from bulrushbend.bench.data_costs import agent, router
from bulrushbend.bench.message_costs import messages
from bulrushbend.bench.placement_costs import placement_cost
from bulrushbend.bench.policy_sweeps import policy
from bulrushbend.bench.registry import command
from bulrushbend.bench.relay_costs import relay
from bulrushbend.bench.sweep import DEFAULT_FOLDER


@command("all")
def run_all(limit_s: float = 480.0, folder: str = str(DEFAULT_FOLDER)) -> str:
    """Run all sweeps; a sweep that would start after LIMIT_S seconds is skipped."""
    runs = (
        ("messages", lambda: messages(1, folder)),
        ("relay", lambda: relay(1, folder)),
        ("control", lambda: control(1, folder)),
        ("router", lambda: router(1, folder=folder)),
        ("agent", lambda: agent(1, folder=folder)),
        ("accounting", lambda: accounting(1, folder)),
        ("placement-cost", lambda: placement_cost(1, folder=folder)),
        (
            "policy",
            lambda: policy(spreads_ms=250.0, seconds=60.0, seeds=1, folder=folder),
        ),
    )
    started_s = time.monotonic()
    lines = []
    for name, run in runs:
        begin_s = time.monotonic()
        if begin_s - started_s > limit_s:
            lines.append(f"{name}: skipped, the limit of {limit_s:g} s had passed\n")
            continue
        try:
            table = run()
        except TimeoutError:
            lines.append(f"{name}: aborted, one measurement timed out\n")
            continue
        lines.append(f"{name}: {time.monotonic() - begin_s:.0f} s\n\n{table}")
    return "\n".join(lines)
