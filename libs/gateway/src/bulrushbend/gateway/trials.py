"""Trials of what was quarantined: one request at a time."""

from collections.abc import Hashable

from bulrushbend.core.clock import Clock

# Time after which a trial without a result does not hold back the next one. It covers
# the wait for an endpoint and the prefill of a long prompt.
_TRIAL_TIMEOUT_MS = 10_000.0
# Retry-After of a request that a trial holds back; most trials end sooner.
TRIAL_RETRY_MS = 1_000.0


class Trials:
    """Admits one request at a time for each subject.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # Request on trial and the time at which its trial ends, by subject.
        self._running: dict[Hashable, tuple[Hashable, float]] = {}

    def waiting_ms(self, subject: Hashable, request: Hashable) -> float:
        """Return the time after which a request may try again, 0 if it is admitted."""
        running = self._running.get(subject)
        if running is None or running[0] == request:
            return 0.0
        left_ms = running[1] - self._clock.now_ms()
        return max(0.0, min(left_ms, TRIAL_RETRY_MS))

    def begin(self, subject: Hashable, request: Hashable) -> None:
        """Begin the trial of a subject, unless the request is on trial already."""
        running = self._running.get(subject)
        if running is None or running[0] != request:
            now_ms = self._clock.now_ms()
            self._running = {
                s: run for s, run in self._running.items() if run[1] > now_ms
            }
            self._running[subject] = (request, now_ms + _TRIAL_TIMEOUT_MS)

    def end(self, subject: Hashable) -> None:
        """End the trial of a subject, whose result is known."""
        self._running.pop(subject, None)

    def end_request(self, request: Hashable) -> None:
        """End the trials of a request that has ended."""
        for subject in [s for s, run in self._running.items() if run[0] == request]:
            del self._running[subject]
