"""The links to all agents, from the members that control reports."""

import asyncio
import functools
import random
from collections.abc import Collection, Iterable

from bulrushbend.core.logs import part_logger
from bulrushbend.core.manifest import Manifest
from bulrushbend.router.link import AgentLink, LinkContext
from bulrushbend.router.relay import RowRelay
from bulrushbend.wire.fleet_pb2 import Member
from bulrushbend.wire.record_groups import AgentRecord

_log = part_logger("router.links")

# Agents that learn at once of a queue that has turned non-empty; the others learn of
# what still waits with the next periodic batch. All idle agents that learn of it claim,
# and all claims but one miss: 64 agents cost 20 ms of processor time per request.
_TOLD_AT_ONCE = 8


class AgentLinks:
    """One link task for each agent.

    A member that control no longer reports keeps its link while the link is up: the
    loss of control must not cut off agents that answer.

    Parameters
    ----------
    context : LinkContext
        What all links share.
    """

    def __init__(self, context: LinkContext):
        self._context = context
        self._links: dict[str, AgentLink] = {}
        self._by_service: dict[str, dict[str, AgentLink]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._relays: dict[str, RowRelay] = {}
        self._last_usable_ms: dict[str, float] = {}
        self._reported: dict[str, Member] = {}
        self._members: dict[str, Member] = {}
        self._started_ms = context.clock.now_ms()
        context.queues.listen(self._backlog_changed)
        context.in_force.listen(self._adopt)

    @property
    def control_bytes(self) -> int:
        """Bytes of messages sent and received on the present links."""
        return sum(link.control_bytes for link in self._links.values())

    def of_service(self, service: str) -> Iterable[AgentLink]:
        """Return the links to the agents of `service`."""
        return self._by_service.get(service, {}).values()

    def unusable_ms(self, service: str) -> float:
        """Return for how long no agent of `service` was usable, in milliseconds."""
        now_ms = self._context.clock.now_ms()
        if any(link.is_usable for link in self.of_service(service)):
            self._last_usable_ms[service] = now_ms
        return now_ms - self._last_usable_ms.get(service, self._started_ms)

    def update(self, members: dict[str, Member]) -> None:
        """Start and end links so that they match the agents in `members`."""
        self._reported = members
        self._members = {
            name: self._with_service(member)
            for name, member in members.items()
            if member.role == "agent" and member.link_address
        }
        for member in self._members.values():
            link = self._links.get(member.name)
            if link is not None and _same_place(link.member, member):
                continue
            if link is not None:
                self._end(member.name)
            self._start(member)
        self.drop_lost()

    def drop_lost(self) -> None:
        """End the links to lost agents and start those whose task has failed.

        An agent is lost when its link is down and it is no member any more.
        """
        for member in self._members.values():
            if member.name not in self._links:
                self._start(member)
        lost = self._links.keys() - self._members.keys()
        for name in lost:
            if not self._links[name].is_up:
                self._end(name)

    def relay_rows(self, source: AgentLink, rows: Iterable[AgentRecord]) -> None:
        """Keep rows from an agent and announce the changed ones to the others."""
        if not self._relay(source.service).learn(rows, source.agent):
            return
        for link in self.of_service(source.service):
            if link is not source:
                link.rows_changed()

    def close(self) -> None:
        """End all links."""
        for name in list(self._links):
            self._end(name)

    def _adopt(self, _: Manifest) -> None:
        """Move the links of endpoints that a manifest gives to another service."""
        self.update(self._reported)

    def _with_service(self, member: Member) -> Member:
        """Return the agent with the service that the manifest in force gives it.

        An agent reports its service with a heartbeat after it has adopted a manifest;
        control may be gone before the report arrives.
        """
        manifest = self._context.in_force.current
        endpoint = manifest and manifest.endpoints_by_name.get(member.endpoint)
        if not endpoint or endpoint.service == member.service:
            return member
        described = Member()
        described.CopyFrom(member)
        described.service = endpoint.service
        return described

    def _start(self, member: Member) -> None:
        link = AgentLink(self._context, member, self._relay(member.service))
        self._links[member.name] = link
        self._by_service.setdefault(member.service, {})[member.name] = link
        task = asyncio.create_task(link.run(), name=f"link-{member.name}")
        task.add_done_callback(functools.partial(self._drop_failed, member.name))
        self._tasks[member.name] = task

    def _drop_failed(self, name: str, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and self._tasks.get(name) is task:
            _log.error("the link to %s failed: %r", name, task.exception())
            self._end(name)

    def _end(self, name: str) -> None:
        link = self._links.pop(name)
        del self._by_service[link.service][name]
        self._tasks.pop(name).cancel()

    def _relay(self, service: str) -> RowRelay:
        return self._relays.setdefault(service, RowRelay(service))

    def _backlog_changed(self, service: str, team: str, turned: bool) -> None:
        told = self._told_at_once(service) if turned else ()
        for link in self.of_service(service):
            link.backlog_changed(team, link in told)

    def _told_at_once(self, service: str) -> Collection[AgentLink]:
        """Choose the links that learn at once of a queue that turned non-empty."""
        usable = [link for link in self.of_service(service) if link.is_usable]
        if len(usable) <= _TOLD_AT_ONCE:
            return usable
        random.shuffle(usable)
        usable.sort(key=lambda link: not link.has_free_slot)
        return usable[:_TOLD_AT_ONCE]


def _same_place(known: Member, member: Member) -> bool:
    return (
        known.incarnation == member.incarnation
        and known.link_address == member.link_address
        and known.http_address == member.http_address
        and known.service == member.service
    )
