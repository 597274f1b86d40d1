"""Links to all agents that control reports as members."""

import asyncio
import functools
import random
from collections.abc import Collection, Iterable

from bulrushbend.core.logs import part_logger
from bulrushbend.core.manifest import Manifest
from bulrushbend.router.link import AgentLink, LinkContext
from bulrushbend.router.relay import AccountingRelay
from bulrushbend.wire.fleet_pb2 import Member
from bulrushbend.wire.record_groups import AgentRecord

_log = part_logger("router.links")

# Agents that are notified at once of a queue that has become non-empty; the others get
# the remaining backlog with the next periodic batch. Each idle agent that is notified
# claims the request, and all claims but one miss: with 64 agents this took 20 ms of
# processor time per request.
_MAX_IMMEDIATE_UPDATES = 8


class AgentLinks:
    """Runs one link task for each agent.

    An agent that control no longer reports keeps its link while the link is up, because
    a loss of control must not disconnect reachable agents.

    Parameters
    ----------
    context : LinkContext
        Dependencies shared by all links.
    """

    def __init__(self, context: LinkContext):
        self._context = context
        self._links: dict[str, AgentLink] = {}
        self._by_service: dict[str, dict[str, AgentLink]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._relays: dict[str, AccountingRelay] = {}
        self._last_usable_ms: dict[str, float] = {}
        self._reported_members: dict[str, Member] = {}
        self._members: dict[str, Member] = {}
        self._started_ms = context.clock.now_ms()
        context.queues.listen(self._backlog_changed)
        context.in_force.add_listener(self._apply_manifest)

    @property
    def control_bytes(self) -> int:
        """Bytes of messages sent and received on the current links."""
        return sum(link.control_bytes for link in self._links.values())

    def of_service(self, service: str) -> Iterable[AgentLink]:
        """Return the links to the agents of `service`."""
        return self._by_service.get(service, {}).values()

    def unusable_ms(self, service: str) -> float:
        """Return the time since an agent of `service` was last usable, in ms."""
        now_ms = self._context.clock.now_ms()
        if any(link.is_usable for link in self.of_service(service)):
            self._last_usable_ms[service] = now_ms
        return now_ms - self._last_usable_ms.get(service, self._started_ms)

    def update(self, members: dict[str, Member]) -> None:
        """Start and stop links to match the agents in `members`."""
        self._reported_members = members
        self._members = {
            name: self._with_service(member)
            for name, member in members.items()
            if member.role == "agent" and member.link_address
        }
        for member in self._members.values():
            link = self._links.get(member.name)
            if link is not None and _is_unchanged(link.member, member):
                continue
            if link is not None:
                self._stop(member.name)
            self._start(member)
        self.remove_lost()

    def remove_lost(self) -> None:
        """Stop the links to lost agents and restart those whose task has failed.

        An agent is lost when its link is down and it is no longer a member.
        """
        for member in self._members.values():
            if member.name not in self._links:
                self._start(member)
        lost = self._links.keys() - self._members.keys()
        for name in lost:
            if not self._links[name].is_up:
                self._stop(name)

    def relay_records(self, source: AgentLink, records: Iterable[AgentRecord]) -> None:
        """Store accounting records of an agent and notify the links to the others."""
        if not self._relay(source.service).update(records, source.agent):
            return
        for link in self.of_service(source.service):
            if link is not source:
                link.records_changed()

    def close(self) -> None:
        """Stop all links."""
        for name in list(self._links):
            self._stop(name)

    def _apply_manifest(self, _: Manifest) -> None:
        """Restart the links to agents whose endpoint moved to another service."""
        self.update(self._reported_members)

    def _with_service(self, member: Member) -> Member:
        """Return the agent with its service according to the manifest in force.

        An agent reports its service only with a heartbeat after it has applied a
        manifest, and control may be lost before that report arrives.
        """
        manifest = self._context.in_force.current
        endpoint = manifest and manifest.endpoints_by_name.get(member.endpoint)
        if not endpoint or endpoint.service == member.service:
            return member
        resolved = Member()
        resolved.CopyFrom(member)
        resolved.service = endpoint.service
        return resolved

    def _start(self, member: Member) -> None:
        link = AgentLink(self._context, member, self._relay(member.service))
        self._links[member.name] = link
        self._by_service.setdefault(member.service, {})[member.name] = link
        task = asyncio.create_task(link.run(), name=f"link-{member.name}")
        task.add_done_callback(functools.partial(self._remove_failed, member.name))
        self._tasks[member.name] = task

    def _remove_failed(self, name: str, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and self._tasks.get(name) is task:
            _log.error(
                "link task of agent %s failed, restarting if still a member: %r",
                name,
                task.exception(),
            )
            self._stop(name)

    def _stop(self, name: str) -> None:
        link = self._links.pop(name)
        del self._by_service[link.service][name]
        self._tasks.pop(name).cancel()

    def _relay(self, service: str) -> AccountingRelay:
        return self._relays.setdefault(service, AccountingRelay(service))

    def _backlog_changed(self, service: str, team: str, became_non_empty: bool) -> None:
        immediate = self._links_to_update_now(service) if became_non_empty else ()
        for link in self.of_service(service):
            link.backlog_changed(team, link in immediate)

    def _links_to_update_now(self, service: str) -> Collection[AgentLink]:
        """Choose the links that report a queue at once when it becomes non-empty.

        Links to agents with a free slot are preferred.
        """
        usable = [link for link in self.of_service(service) if link.is_usable]
        if len(usable) <= _MAX_IMMEDIATE_UPDATES:
            return usable
        random.shuffle(usable)
        usable.sort(key=lambda link: not link.has_free_slot)
        return usable[:_MAX_IMMEDIATE_UPDATES]


def _is_unchanged(known: Member, member: Member) -> bool:
    return (
        known.incarnation == member.incarnation
        and known.link_address == member.link_address
        and known.http_address == member.http_address
        and known.service == member.service
    )
