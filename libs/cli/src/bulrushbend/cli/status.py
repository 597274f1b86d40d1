"""Status of the fleet, combined from the replies of the control replicas."""

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
    """State that one control replica reports about itself."""

    address: str
    reachable: bool
    reason: str = ""
    manifest_version: int = 0
    leader: str = ""
    term: int = 0
    commit_index: int = 0


@dataclass(frozen=True)
class ProcessStatus:
    """State of a router or an agent; times are in milliseconds."""

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
    """Slots of an endpoint as reported by its agent; times are in milliseconds."""

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
    """Slot time that a team has received from one service, over all live agents.

    `level_ms` is the virtual time of the team: its start value plus the served slot
    time divided by the share.
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
    """Teams of a service and the largest virtual-time gap between waiting teams."""

    service: str
    gap_ms: float
    teams: tuple[TeamService, ...]


@dataclass(frozen=True)
class FleetStatus:
    """Status of the fleet at one point in time."""

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
        """Return the status as JSON values; keys are the attribute names."""
        return asdict(self)


async def read_status(addresses: list[str], timeout_ms: float) -> FleetStatus:
    """Query all replicas concurrently and combine their replies.

    Leader, voters and manifest come from the reply with the highest term and commit
    index, so that the outdated state of an isolated replica is not shown while another
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
    """Combine the results of the calls by address; at least one must be a reply."""
    answered = [r for r in replies.values() if not isinstance(r, CallFailure)]
    best = max(answered, key=lambda reply: (reply.term, reply.commit_index))
    members = _newest_members(answered)
    shares = _team_shares(best)
    return FleetStatus(
        leader=best.leader,
        term=best.term,
        voters=tuple(best.voters),
        learners=tuple(best.learners),
        manifest_version=best.manifest_version,
        manifest_digest=best.manifest_digest,
        replicas=tuple(_replica_status(a, reply) for a, reply in replies.items()),
        processes=tuple(_process_status(status) for status in members),
        endpoints=tuple(
            _endpoint_status(s) for s in members if s.member.role == "agent"
        ),
        services=_service_statuses((g for s in members for g in s.detail.rows), shares),
    )


def _newest_members(replies: Iterable[StatusReply]) -> list[MemberStatus]:
    newest: dict[str, MemberStatus] = {}
    for reply in replies:
        for status in reply.members:
            known = newest.get(status.member.name)
            if known is None or _recency(status) > _recency(known):
                newest[status.member.name] = status
    return [newest[name] for name in sorted(newest)]


def _recency(status: MemberStatus) -> tuple[int, int]:
    return status.member.incarnation, -status.report_age_ms


def _team_shares(reply: StatusReply) -> dict[str, float]:
    if not reply.HasField("manifest"):
        return {}
    try:
        manifest: Manifest = unpack_manifest(reply.manifest, "control")
    except ManifestError:
        return {}
    return {team.name: team.share for team in manifest.teams}


def _replica_status(address: str, reply: StatusReply | CallFailure) -> ReplicaStatus:
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


def _process_status(status: MemberStatus) -> ProcessStatus:
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


def _endpoint_status(status: MemberStatus) -> EndpointStatus:
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


def _service_statuses(
    groups: Iterable[RowGroup], shares: dict[str, float]
) -> tuple[ServiceStatus, ...]:
    records_by_service: dict[str, dict[str, list[TeamRow]]] = defaultdict(dict)
    for group in groups:
        for record in group.rows:
            records_by_service[group.service].setdefault(record.team, []).append(record)
    services = []
    for service, teams in sorted(records_by_service.items()):
        team_services = tuple(
            _team_service(team, team_records, shares.get(team, 1.0))
            for team, team_records in sorted(teams.items())
        )
        services.append(ServiceStatus(service, _gap_ms(team_services), team_services))
    return tuple(services)


def _team_service(team: str, records: list[TeamRow], share: float) -> TeamService:
    served_ms = float(sum(record.served_ms for record in records))
    start_level_ms = max(record.start_level_us for record in records) / 1000.0
    return TeamService(
        team=team,
        share=share,
        served_ms=served_ms,
        start_level_ms=start_level_ms,
        level_ms=start_level_ms + served_ms / share,
        running=sum(record.running for record in records),
        waiting=any(record.waiting for record in records),
    )


def _gap_ms(teams: Iterable[TeamService]) -> float:
    virtual_times = [team.level_ms for team in teams if team.waiting]
    return max(virtual_times) - min(virtual_times) if virtual_times else 0.0
