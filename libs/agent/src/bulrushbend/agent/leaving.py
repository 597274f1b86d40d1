"""Leaving state of the endpoint, and polling of the platform's list of VMs."""

import enum
import json
from collections.abc import Callable
from typing import Literal

from pydantic import BaseModel, ConfigDict, ValidationError
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from bulrushbend.core.clock import Clock
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.core.validation import format_validation_error

_log = get_logger("agent.leaving")

_POLL_TIMEOUT_S = 2.0


class LeavingCause(enum.StrEnum):
    """Source of the information that the endpoint is leaving."""

    MANIFEST = "manifest"
    PLATFORM = "platform"
    SIGNAL = "signal"


class LeavingState:
    """Tracks the causes for leaving; the endpoint is leaving while there is any.

    Parameters
    ----------
    events : EventLog
        Event log for ``leaving-started`` and ``leaving-finished``.
    on_change : callable
        Called when the leaving state changes.
    """

    def __init__(self, events: EventLog, on_change: Callable[[], None]):
        self._events = events
        self._on_change = on_change
        self._causes: set[LeavingCause] = set()

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint is leaving and accepts no new requests."""
        return bool(self._causes)

    def set(self, cause: LeavingCause, leaving: bool) -> None:
        """Set whether the endpoint is leaving according to `cause`."""
        before = self.is_leaving
        if leaving:
            self._causes.add(cause)
        else:
            self._causes.discard(cause)
        if self.is_leaving == before:
            return
        _log.info(
            "endpoint is %s, according to %s",
            "leaving" if leaving else "no longer leaving",
            cause,
        )
        kind = EventKind.LEAVING_STARTED if leaving else EventKind.LEAVING_FINISHED
        self._events.write(kind, reason=str(cause))
        self._on_change()


class _Vm(BaseModel):
    model_config = ConfigDict(extra="ignore")

    vm: str
    state: Literal["live", "leaving"]


class _VmList(BaseModel):
    model_config = ConfigDict(extra="ignore")

    vms: tuple[_Vm, ...]


class PlatformPoller:
    """Polls the platform's list of VMs.

    The list may be outdated or unavailable. A failed poll, an invalid list and a list
    without this VM change nothing: the VM may not be listed yet, and an outage of the
    platform must not take endpoints out of service.

    Parameters
    ----------
    url : str
        URL of the list.
    poll_ms : float
        Pause between two polls in milliseconds.
    vm : str
        Name of the VM of the endpoint.
    leaving : LeavingState
        State that is updated from the list.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, url: str, poll_ms: float, vm: str, leaving: LeavingState, clock: Clock
    ):
        self._url = url
        self._poll_ms = poll_ms
        self._vm = vm
        self._leaving = leaving
        self._clock = clock
        self._etag = ""
        self._failing = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep_ms(self._poll_ms)

    async def poll(self) -> None:
        """Fetch the list once and update the leaving state from it."""
        try:
            states = await self._fetch()
        except (HTTPClientError, OSError, ValueError) as error:
            self._handle_failure(error)
            return
        self._failing = False
        state = states.get(self._vm) if states is not None else None
        if state is not None:
            self._leaving.set(LeavingCause.PLATFORM, state == "leaving")

    async def _fetch(self) -> dict[str, str] | None:
        """Return the states by VM, None if the list has not changed."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        request = HTTPRequest(
            self._url,
            headers=headers,
            connect_timeout=_POLL_TIMEOUT_S,
            request_timeout=_POLL_TIMEOUT_S,
        )
        response = await AsyncHTTPClient().fetch(request, raise_error=False)
        if response.code == 304:
            return None
        response.rethrow()
        vms = _VmList.model_validate(json.loads(response.body)).vms
        self._etag = response.headers.get("ETag", "")
        return {entry.vm: entry.state for entry in vms}

    def _handle_failure(self, error: Exception) -> None:
        if self._failing:
            return
        self._failing = True
        invalid = isinstance(error, ValidationError)
        reason = format_validation_error(error) if invalid else str(error)
        _log.warning(
            "platform list %s cannot be read; the leaving state is kept: %s",
            self._url,
            reason,
        )
