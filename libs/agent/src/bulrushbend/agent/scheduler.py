"""Slot scheduling: claims requests from routers for the slots of the endpoint."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bulrushbend.agent import metrics
from bulrushbend.agent.backlog import Backlog, ClaimTarget
from bulrushbend.agent.prefetch import PrefetchPolicy
from bulrushbend.agent.slots import SlotAccount
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import new_id
from bulrushbend.share.ledger import Charge, Ledger
from bulrushbend.share.picker import TeamPicker
from bulrushbend.wire.fleet_pb2 import SlotReport

# A prefetched request that gets no slot within this time is returned to its router.
# Otherwise long requests in all slots would keep it from being served by other agents.
_PREFETCH_TIMEOUT_S = 0.25


@dataclass(eq=False)
class SlotClaim:
    """Claim for one request of a team, then the slot that the request occupies."""

    attempt_id: str
    team: str
    link: ClaimTarget
    charge: Charge
    sent_ms: float
    updates: int
    slot_granted: asyncio.Future[bool] | None = None


class SlotScheduler:
    """Assigns the slots of the endpoint to claimed requests.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Event log for claims and their outcomes.
    claim_timeout_ms : float
        Age at which an unanswered claim expires.
    on_unused : callable
        Called with the attempt id of each claim that ends without running a request.
    """

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        claim_timeout_ms: float,
        on_unused: Callable[[str], None],
    ):
        self._clock = clock
        self._events = events
        self._claim_timeout_ms = claim_timeout_ms
        self._on_unused = on_unused
        self._ledger: Ledger | None = None
        self._picker: TeamPicker | None = None
        self._backlog = Backlog(clock, self._mark_waiting)
        self._account = SlotAccount(clock)
        self._limit = 0
        self._open = False
        self._running = 0
        self._claims: dict[str, SlotClaim] = {}
        self._expiry_queue: deque[SlotClaim] = deque()
        self._claim_sent = asyncio.Event()
        self._prefetch_policy = PrefetchPolicy()
        self._prefetched: deque[SlotClaim] = deque()

    @property
    def backlog(self) -> Backlog:
        """Advertised requests; call `schedule` after a change."""
        return self._backlog

    @property
    def running(self) -> int:
        """Number of slots with a running request."""
        return self._running

    @property
    def claimed(self) -> int:
        """Number of claims whose request does not run yet."""
        return len(self._claims)

    @property
    def in_use(self) -> int:
        """Number of slots that are claimed or have a running request."""
        return max(self._running, min(self._limit, self._running + len(self._claims)))

    @property
    def is_open(self) -> bool:
        """Whether new requests may be claimed and started."""
        return self._open

    def set_ledger(self, ledger: Ledger, picker: TeamPicker) -> None:
        """Use `ledger` for new claims; running requests keep their ledger.

        Parameters
        ----------
        ledger : Ledger
            Accounting of the service.
        picker : TeamPicker
            Policy that chooses the next team.
        """
        self._ledger = ledger
        self._picker = picker
        for team in self._backlog.waiting_teams:
            ledger.set_waiting(team, True)

    def set_limit(self, limit: int) -> None:
        """Set the number of slots; running requests above the limit finish."""
        self._limit = limit
        self.schedule()

    def open(self) -> None:
        """Allow new requests and claim them."""
        self._open = True
        self.schedule()

    def close(self) -> None:
        """Stop claiming and release all claims, so that their requests are refused."""
        self._open = False
        for claim in list(self._claims.values()):
            self._release(claim, EventKind.CLAIM_EXPIRED)
        self._record_slot_state()

    def schedule(self) -> None:
        """Start prefetched requests and claim requests while slots are free."""
        self._start_prefetched()
        if not self._backlog.any_waiting:
            self._release_prefetched()
        while self._open and self._has_room() and self._claim_next():
            pass
        self._record_slot_state()

    async def admit(self, attempt_id: str) -> SlotClaim | None:
        """Mark the request of a claim as running as soon as a slot is free.

        A prefetched request waits for a slot. It does not run while it waits, and
        `withdraw` releases its claim.

        Returns
        -------
        SlotClaim or None
            None if the claim is unknown, expired, used or withdrawn, or if no slot
            became free in time.
        """
        claim = self._claims.get(attempt_id)
        if claim is None or claim.slot_granted is not None:
            return None
        round_trip_ms = self._clock.now_ms() - claim.sent_ms
        if round_trip_ms >= self._claim_timeout_ms:
            self._release(claim, EventKind.CLAIM_EXPIRED)
            return None
        self._prefetch_policy.record_round_trip(round_trip_ms)
        metrics.CLAIM_LATENCY.observe(round_trip_ms / 1000.0)
        if self._running >= self._limit:
            return claim if await self._wait_for_slot(claim) else None
        self._start(claim)
        # While it was pending, the claim may have masked another waiting request.
        self.schedule()
        return claim

    def finish(self, claim: SlotClaim, *, ran: bool) -> float:
        """Release the slot of a request that ended.

        Parameters
        ----------
        claim : SlotClaim
            Claim returned by `admit`.
        ran : bool
            False if the request provably did not run; the team is then not charged.

        Returns
        -------
        float
            Cost in slot milliseconds.
        """
        cost_ms = 0.0
        if ran:
            cost_ms = claim.charge.end()
            self._prefetch_policy.record_cost(cost_ms)
        else:
            claim.charge.release()
        self._running -= 1
        self.schedule()
        return cost_ms

    def handle_miss(self, attempt_id: str) -> None:
        """Release a claim for which the router reported that it has no request."""
        claim = self._claims.get(attempt_id)
        if claim is not None:
            self._release(claim, EventKind.CLAIM_MISSED, empty=True)
            self.schedule()

    def withdraw(self, attempt_id: str) -> bool:
        """Release a claim and return whether it was pending."""
        claim = self._claims.get(attempt_id)
        if claim is None:
            return False
        self._release(claim, EventKind.CLAIM_EXPIRED)
        self.schedule()
        return True

    def remove_link(self, link: ClaimTarget) -> None:
        """Remove the requests advertised over `link` and release its claims."""
        for claim in [c for c in self._claims.values() if c.link is link]:
            self._release(claim, EventKind.CLAIM_EXPIRED)
        self._backlog.clear_link(link)
        self.schedule()

    def report(self, leaving: bool) -> SlotReport:
        """Return the slot report for routers and control."""
        report = self._account.report(self.in_use, leaving)
        metrics.publish_slots(report)
        return report

    async def run(self) -> None:
        """Expire claims until cancelled."""
        while True:
            if not self._expiry_queue:
                self._claim_sent.clear()
                await self._claim_sent.wait()
            claim = self._expiry_queue.popleft()
            if claim.attempt_id not in self._claims:
                continue
            due_ms = claim.sent_ms + self._claim_timeout_ms
            await self._clock.sleep_ms(due_ms - self._clock.now_ms())
            if self._claims.get(claim.attempt_id) is claim:
                self._release(claim, EventKind.CLAIM_EXPIRED)
                self.schedule()

    def _has_room(self) -> bool:
        prefetch = self._prefetch_policy.depth(self._limit, self._backlog.claimable)
        return self._running + len(self._claims) < self._limit + prefetch

    async def _wait_for_slot(self, claim: SlotClaim) -> bool:
        """Wait for a slot; return False if the claim was released."""
        loop = asyncio.get_running_loop()
        claim.slot_granted = loop.create_future()
        self._prefetched.append(claim)
        # A timeout around the wait could cancel it after the request has started.
        loop.call_later(_PREFETCH_TIMEOUT_S, self._expire_prefetched, claim)
        return await claim.slot_granted

    def _expire_prefetched(self, claim: SlotClaim) -> None:
        """Release a prefetched claim unless its request has started."""
        if self._claims.get(claim.attempt_id) is claim:
            self._release(claim, EventKind.CLAIM_EXPIRED)
            self.schedule()

    def _start(self, claim: SlotClaim) -> None:
        del self._claims[claim.attempt_id]
        claim.charge.start()
        self._running += 1
        self._record_claim_end(claim, taken=True)

    def _start_prefetched(self) -> None:
        """Assign free slots to prefetched requests, the oldest first."""
        while self._open and self._prefetched and self._running < self._limit:
            claim = self._prefetched.popleft()
            self._start(claim)
            claim.slot_granted.set_result(True)

    def _release_prefetched(self) -> None:
        """Release prefetched claims, so that an idle agent can claim the requests."""
        for claim in list(self._prefetched):
            self._release(claim, EventKind.CLAIM_EXPIRED)

    def _claim_next(self) -> bool:
        """Claim one request; return False if there is none to claim."""
        if self._ledger is None or self._picker is None:
            return False
        # Called even if no team waits, because the picker consumes the freed slot.
        team = self._picker.pick(self._backlog.oldest_ages(), self._ledger)
        link = self._backlog.oldest_link(team) if team is not None else None
        if team is None or link is None:
            return False
        self._send_claim(team, link, self._ledger)
        return True

    def _send_claim(self, team: str, link: ClaimTarget, ledger: Ledger) -> None:
        attempt_id = new_id("att")
        updates = self._backlog.claim(link, team)
        claim = SlotClaim(
            attempt_id,
            team,
            link,
            ledger.open_charge(team),
            self._clock.now_ms(),
            updates,
        )
        self._claims[attempt_id] = claim
        self._expiry_queue.append(claim)
        self._claim_sent.set()
        link.send_claim(attempt_id, team)
        metrics.CLAIMS.labels("sent").inc()
        self._events.write(
            EventKind.CLAIM_SENT,
            attempt_id=attempt_id,
            team=team,
            peer=link.identity.name,
        )

    def _release(
        self, claim: SlotClaim, kind: EventKind, *, empty: bool = False
    ) -> None:
        del self._claims[claim.attempt_id]
        claim.charge.release()
        if claim.slot_granted is not None:
            self._prefetched.remove(claim)
            claim.slot_granted.set_result(False)
        self._record_claim_end(claim, empty=empty)
        self._on_unused(claim.attempt_id)
        metrics.CLAIMS.labels("missed" if empty else "expired").inc()
        self._events.write(
            kind,
            attempt_id=claim.attempt_id,
            team=claim.team,
            peer=claim.link.identity.name,
        )

    def _record_claim_end(
        self, claim: SlotClaim, *, taken: bool = False, empty: bool = False
    ) -> None:
        self._backlog.record_claim_end(
            claim.link, claim.team, claim.updates, taken=taken, empty=empty
        )

    def _mark_waiting(self, team: str, waiting: bool) -> None:
        if self._ledger is not None:
            self._ledger.set_waiting(team, waiting)

    def _record_slot_state(self) -> None:
        limit = self._limit if self._open else 0
        self._account.record(limit, self._running, self._backlog.any_waiting)
