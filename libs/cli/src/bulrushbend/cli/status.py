"""State of the fleet as control replicas and their members report it."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from bulrushbend.cli.calls import CallFailure, call_replica
from bulrushbend.cli.exits import FleetUnavailableError
from bulrushbend.core.errors import ManifestError
from bulrushbend.core.manifest import Manifest
from bulrushbend.wire.documents import unpack_manifest
from bulrushbend.wire.fleet_pb2 import (
    MemberStatus,
    RowGroup,
    StatusReply,
    StatusRequest,
    TeamRow,
)


@dataclass(frozen=True)
class ReplicaStatus:
    """What one control replica says about itself."""

    address: str
    reachable: bool
    reason: str = ""
    manifest_version: int = 0
    leader: str = ""
    term: int = 0
    commit_index: int = 0


@dataclass(frozen=True)
class ProcessStatus:
    """A router or an agent; times in milliseconds."""

    name: str
    role: str
    vm: str
    data_centre: str
    manifest_version: int
    report_age_ms: int
    leaving: bool
    waiting: int
    running: int
    cpu_ms: float
    control_bytes: int


@dataclass(frozen=True)
class EndpointStatus:
    """Slots of an endpoint as its agent reports them; times in milliseconds."""

    endpoint: str
    service: str
    agent: str
    limit: int
    in_use: int
    leaving: bool
    usable_ms: float
    busy_ms: float
    idle_while_waiting_ms: float


@dataclass(frozen=True)
class TeamService:
    """Service that a team has received at one service, over all live agents.

    `level_ms` is its virtual service: start level plus served slot time per share.
    """

    team: str
    share: float
    served_ms: float
    start_level_ms: float
    level_ms: float
    running: int
    waiting: bool


@dataclass(frozen=True)
class ServiceStatus:
    """Teams of a service and the gap between those that wait."""

    service: str
    gap_ms: float
    teams: tuple[TeamService, ...]


@dataclass(frozen=True)
class FleetStatus:
    """State of the fleet at one moment."""

    leader: str
    term: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    manifest_version: int
    manifest_digest: str
    replicas: tuple[ReplicaStatus, ...]
    processes: tuple[ProcessStatus, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    services: tuple[ServiceStatus, ...] = field(default=())

    def document(self) -> dict[str, Any]:
        """Return the state as values for JSON; keys are the attribute names."""
        return asdict(self)


async def read_status(addresses: list[str], timeout_ms: float) -> FleetStatus:
    """Ask all replicas at once and combine their answers.

    Leader, members and manifest come from the reply with the highest term and
    commit index, so an isolated replica cannot show an outdated state while another
    one answers.

    Raises
    ------
    FleetUnavailableError
        If no replica answered.
    """
    request = StatusRequest(with_manifest=True)
    calls = [call_replica(a, "Status", request, timeout_ms) for a in addresses]
    replies = dict(zip(addresses, await asyncio.gather(*calls), strict=True))
    answered = [r for r in replies.values() if not isinstance(r, CallFailure)]
    if not answered:
        reasons = "; ".join(f"{f.address}: {f.reason}" for f in replies.values())
        raise FleetUnavailableError(f"no control replica answered ({reasons})")
    return combine_replies(replies)


def combine_replies(replies: dict[str, StatusReply | CallFailure]) -> FleetStatus:
    """Combine the replies of the replicas by address; one of them must be a reply."""
    answered = [r for r in replies.values() if not isinstance(r, CallFailure)]
    best = max(answered, key=lambda reply: (reply.term, reply.commit_index))
    members = _newest_members(answered)
    shares = _shares(best)
    return FleetStatus(
        leader=best.leader,
        term=best.term,
        voters=tuple(best.voters),
        learners=tuple(best.learners),
        manifest_version=best.manifest_version,
        manifest_digest=best.manifest_digest,
        replicas=tuple(_replica(a, reply) for a, reply in replies.items()),
        processes=tuple(_process(status) for status in members),
        endpoints=tuple(_endpoint(s) for s in members if s.member.role == "agent"),
        services=_services((g for s in members for g in s.detail.rows), shares),
    )


def _newest_members(replies: Iterable[StatusReply]) -> list[MemberStatus]:
    newest: dict[str, MemberStatus] = {}
    for reply in replies:
        for status in reply.members:
            known = newest.get(status.member.name)
            if known is None or _freshness(status) > _freshness(known):
                newest[status.member.name] = status
    return [newest[name] for name in sorted(newest)]


def _freshness(status: MemberStatus) -> tuple[int, int]:
    return status.member.incarnation, -status.report_age_ms


def _shares(reply: StatusReply) -> dict[str, float]:
    if not reply.HasField("manifest"):
        return {}
    try:
        manifest: Manifest = unpack_manifest(reply.manifest, "control")
    except ManifestError:
        return {}
    return {team.name: team.share for team in manifest.teams}


def _replica(address: str, reply: StatusReply | CallFailure) -> ReplicaStatus:
    if isinstance(reply, CallFailure):
        return ReplicaStatus(address, False, reply.reason)
    return ReplicaStatus(
        address,
        True,
        manifest_version=reply.manifest_version,
        leader=reply.leader,
        term=reply.term,
        commit_index=reply.commit_index,
    )


def _process(status: MemberStatus) -> ProcessStatus:
    member, detail = status.member, status.detail
    return ProcessStatus(
        name=member.name,
        role=member.role,
        vm=member.vm,
        data_centre=member.data_centre,
        manifest_version=status.manifest_version,
        report_age_ms=status.report_age_ms,
        leaving=status.leaving,
        waiting=detail.waiting,
        running=detail.running,
        cpu_ms=detail.cpu_ms,
        control_bytes=detail.control_bytes,
    )


def _endpoint(status: MemberStatus) -> EndpointStatus:
    member, slots = status.member, status.detail.slots
    return EndpointStatus(
        endpoint=member.endpoint,
        service=member.service,
        agent=member.name,
        limit=slots.limit,
        in_use=slots.in_use,
        leaving=slots.leaving or status.leaving,
        usable_ms=slots.usable_ms,
        busy_ms=slots.busy_ms,
        idle_while_waiting_ms=slots.idle_while_waiting_ms,
    )


def _services(
    groups: Iterable[RowGroup], shares: dict[str, float]
) -> tuple[ServiceStatus, ...]:
    grouped: dict[str, dict[str, list[TeamRow]]] = defaultdict(dict)
    for group in groups:
        for row in group.rows:
            grouped[group.service].setdefault(row.team, []).append(row)
    services = []
    for service, teams in sorted(grouped.items()):
        sums = tuple(
            _team_service(team, team_rows, shares.get(team, 1.0))
            for team, team_rows in sorted(teams.items())
        )
        services.append(ServiceStatus(service, _gap_ms(sums), sums))
    return tuple(services)


def _team_service(team: str, rows: list[TeamRow], share: float) -> TeamService:
    served_ms = float(sum(row.served_ms for row in rows))
    start_level_ms = max(row.start_level_us for row in rows) / 1000.0
    return TeamService(
        team=team,
        share=share,
        served_ms=served_ms,
        start_level_ms=start_level_ms,
        level_ms=start_level_ms + served_ms / share,
        running=sum(row.running for row in rows),
        waiting=any(row.waiting for row in rows),
    )


def _gap_ms(teams: Iterable[TeamService]) -> float:
    levels = [team.level_ms for team in teams if team.waiting]
    return max(levels) - min(levels) if levels else 0.0
