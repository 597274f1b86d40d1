"""Table of the attempts of the agent, in which each id runs at most once."""

from collections import OrderedDict

from bulrushbend.agent import metrics
from bulrushbend.agent.attempt import Attempt, AttemptRequest, FailureKind
from bulrushbend.agent.endpoint import Endpoint
from bulrushbend.agent.replay import ReplayBuffer
from bulrushbend.agent.scheduler import SlotClaim, SlotScheduler
from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.identity import Identity
from bulrushbend.core.settings import AgentSettings
from bulrushbend.wire.fleet_pb2 import RunningAttempt
from bulrushbend.wire.names import AttemptState

# Number of past ids whose state is stored for `DELETE`. An evicted id is reported as
# unknown, never as not started.
_MAX_PAST_STATES = 20_000
# Memory for ended answers, as a multiple of the size of one replay buffer.
_MAX_ENDED_WINDOWS = 16


class AttemptTable:
    """Starts attempts for pending claims and retains their answers for some time.

    An id can start only while its claim is pending, and `SlotScheduler.admit` removes
    the claim. So no id runs twice, not even after a restart, because a new process has
    no claims.

    Parameters
    ----------
    settings : AgentSettings
        Limits and times.
    scheduler : SlotScheduler
        Scheduler that owns the claims.
    endpoint : Endpoint
        Endpoint at which attempts run.
    clock : Clock
        Source of time.
    events : EventLog
        Event log for starts, refusals and cancellations.
    """

    def __init__(
        self,
        settings: AgentSettings,
        scheduler: SlotScheduler,
        endpoint: Endpoint,
        clock: Clock,
        events: EventLog,
    ):
        self._settings = settings
        self._scheduler = scheduler
        self._endpoint = endpoint
        self._clock = clock
        self._events = events
        self._attempts: dict[str, Attempt] = {}
        self._ended: dict[str, Attempt] = {}
        self._past_states: OrderedDict[str, AttemptState] = OrderedDict()
        self._unlinked_since_ms: dict[Identity, float] = {}

    @property
    def undelivered(self) -> int:
        """Number of attempts that run or whose linked router still reads the answer."""
        return sum(1 for attempt in self._attempts.values() if self._is_needed(attempt))

    def start(self, request: AttemptRequest, claim: SlotClaim) -> Attempt:
        """Run `request` in the slot of `claim`."""
        body = ReplayBuffer(
            self._settings.replay_bytes, self._settings.orphan_ms, self._clock
        )
        attempt = Attempt(request, self._endpoint, body, self._clock, self._events)
        self._attempts[request.attempt_id] = attempt
        self._events.write(
            EventKind.ATTEMPT_STARTED,
            attempt_id=request.attempt_id,
            request_id=request.request_id,
            team=request.team,
            peer=request.router.name,
        )
        task = attempt.start()
        task.add_done_callback(lambda _: self._handle_end(attempt, claim))
        return attempt

    def find(self, attempt_id: str) -> Attempt | None:
        """Return the attempt while it runs or its answer is buffered."""
        return self._attempts.get(attempt_id)

    def state_of(self, attempt_id: str) -> AttemptState | None:
        """Return the state of an id, None if this process does not know the id."""
        attempt = self._attempts.get(attempt_id)
        return attempt.state if attempt else self._past_states.get(attempt_id)

    def record_unused_claim(self, attempt_id: str) -> None:
        """Record that a claim ended without a request, so that its id never runs."""
        self._record_state(attempt_id, AttemptState.NOT_STARTED)

    def withdraw(self, attempt_id: str, *, cancel: bool) -> AttemptState | None:
        """Prevent the start of an id; with `cancel`, also cancel it if it runs.

        Returns
        -------
        AttemptState or None
            State after the call, None if this process does not know the id.
        """
        if self._scheduler.withdraw(attempt_id):
            return AttemptState.NOT_STARTED
        attempt = self._attempts.get(attempt_id)
        if attempt is not None and cancel and attempt.state is AttemptState.RUNNING:
            attempt.cancel("cancelled by the router")
            return AttemptState.CANCELLED
        return self.state_of(attempt_id)

    def running_for(self, router: Identity) -> list[RunningAttempt]:
        """Return the attempts of `router` with the number of bytes produced so far."""
        return [
            RunningAttempt(
                attempt_id=attempt.request.attempt_id,
                produced_bytes=attempt.body.produced,
                finished=attempt.body.ended,
            )
            for attempt in self._attempts.values()
            if attempt.request.router == router
        ]

    def record_router_link(self, router: Identity, *, linked: bool) -> None:
        """Record that the link to a router was opened or closed."""
        if linked:
            self._unlinked_since_ms.pop(router, None)
        else:
            self._unlinked_since_ms[router] = self._clock.now_ms()

    async def run(self) -> None:
        """Expire old answers and cancel orphans, until cancelled."""
        pause_ms = min(self._settings.orphan_ms, self._settings.replay_keep_ms) / 10
        while True:
            await self._clock.sleep_ms(max(10.0, pause_ms))
            self._expire_old()
            self._cancel_orphans()

    def _is_needed(self, attempt: Attempt) -> bool:
        if attempt.state is AttemptState.RUNNING:
            return True
        unlinked = attempt.request.router in self._unlinked_since_ms
        return not unlinked and not attempt.body.delivered

    async def stop(self) -> None:
        """Cancel the running attempts and wait for their end."""
        running = [
            attempt
            for attempt in self._attempts.values()
            if attempt.state is AttemptState.RUNNING
        ]
        for attempt in running:
            attempt.cancel("agent stops")
        for attempt in running:
            await attempt.wait()

    def _handle_end(self, attempt: Attempt, claim: SlotClaim) -> None:
        failure = attempt.failure
        ran = failure is None or failure.kind is not FailureKind.NOT_RUN
        self._ended[attempt.request.attempt_id] = attempt
        self._scheduler.finish(claim, ran=ran)
        self._evict_ended()

    def _expire_old(self) -> None:
        """Evict answers without reader progress for `replay_keep_ms`."""
        oldest_ms = self._clock.now_ms() - self._settings.replay_keep_ms
        for attempt_id, attempt in list(self._ended.items()):
            if attempt.body.last_activity_ms <= oldest_ms:
                self._evict(attempt_id)
        known = {attempt.request.router for attempt in self._attempts.values()}
        for router in self._unlinked_since_ms.keys() - known:
            del self._unlinked_since_ms[router]

    def _evict_ended(self) -> None:
        """Bound the memory of ended answers; evict delivered, then older ones first."""
        buffered_bytes = sum(
            attempt.body.buffered_bytes for attempt in self._ended.values()
        )
        limit_bytes = _MAX_ENDED_WINDOWS * self._settings.replay_bytes
        if buffered_bytes > limit_bytes:
            eviction_order = sorted(
                self._ended.items(), key=lambda e: not e[1].body.delivered
            )
            for attempt_id, attempt in eviction_order:
                if buffered_bytes <= limit_bytes:
                    break
                buffered_bytes -= attempt.body.buffered_bytes
                self._evict(attempt_id)
        metrics.REPLAY_BYTES.set(buffered_bytes)

    def _evict(self, attempt_id: str) -> None:
        del self._ended[attempt_id]
        attempt = self._attempts.pop(attempt_id)
        attempt.body.release()
        self._record_state(attempt_id, attempt.state)

    def _record_state(self, attempt_id: str, state: AttemptState) -> None:
        self._past_states[attempt_id] = state
        if len(self._past_states) > _MAX_PAST_STATES:
            self._past_states.popitem(last=False)

    def _cancel_orphans(self) -> None:
        latest_ms = self._clock.now_ms() - self._settings.orphan_ms
        for attempt in list(self._attempts.values()):
            request = attempt.request
            unlinked_ms = self._unlinked_since_ms.get(request.router)
            if unlinked_ms is None or unlinked_ms > latest_ms or not request.idempotent:
                continue
            attempt.cancel("its router is gone")
