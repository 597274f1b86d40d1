"""Status of the fleet as text."""

from collections.abc import Iterable, Sequence

from bulrushbend.cli.status import FleetStatus


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return the lines of a table with columns of equal width."""
    texts = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True)).rstrip()
        for row in texts
    ]


def format_status(status: FleetStatus) -> str:
    """Return the status of the fleet as text."""
    lines = [
        f"leader {status.leader or 'unknown'}, term {status.term}, "
        f"voters {', '.join(status.voters) or '-'}, "
        f"learners {', '.join(status.learners) or '-'}",
        f"manifest version {status.manifest_version}, "
        f"digest {status.manifest_digest[:12] or '-'}",
        "",
        *_format_replicas(status),
        "",
        *_format_processes(status),
        "",
        *_format_endpoints(status),
    ]
    for service in status.services:
        lines += ["", f"service {service.service}: gap {service.gap_ms:.0f} ms"]
        lines += format_table(
            ("team", "share", "served ms", "level ms", "running", "waiting"),
            (
                (
                    team.team,
                    f"{team.share:g}",
                    f"{team.served_ms:.0f}",
                    f"{team.level_ms:.0f}",
                    team.running,
                    "yes" if team.waiting else "no",
                )
                for team in service.teams
            ),
        )
    return "\n".join(lines)


def _format_replicas(status: FleetStatus) -> list[str]:
    return format_table(
        ("control", "state", "manifest", "leader", "term", "commit"),
        (
            (
                replica.address,
                "up" if replica.reachable else replica.reason,
                replica.manifest_version,
                replica.leader or "-",
                replica.term,
                replica.commit_index,
            )
            for replica in status.replicas
        ),
    )


def _format_processes(status: FleetStatus) -> list[str]:
    return format_table(
        ("process", "role", "vm", "manifest", "age ms", "leaving", "wait", "run"),
        (
            (
                process.name,
                process.role,
                process.vm,
                process.manifest_version,
                process.report_age_ms,
                "yes" if process.leaving else "no",
                process.waiting,
                process.running,
            )
            for process in status.processes
        ),
    )


def _format_endpoints(status: FleetStatus) -> list[str]:
    return format_table(
        ("endpoint", "service", "slots", "in use", "leaving", "busy", "idle waiting"),
        (
            (
                endpoint.endpoint,
                endpoint.service,
                endpoint.limit,
                endpoint.in_use,
                "yes" if endpoint.leaving else "no",
                _format_percent(endpoint.busy_ms, endpoint.usable_ms),
                _format_percent(endpoint.idle_while_waiting_ms, endpoint.usable_ms),
            )
            for endpoint in status.endpoints
        ),
    )


def _format_percent(part: float, whole: float) -> str:
    return f"{100.0 * part / whole:.1f}%" if whole > 0 else "-"
