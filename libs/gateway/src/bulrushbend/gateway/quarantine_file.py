"""Quarantines on the disk of a gateway, for the case that all gateways end at once."""

import asyncio
import os
from pathlib import Path

from pydantic import BaseModel, Field, ValidationError

from bulrushbend.core.clock import Clock
from bulrushbend.core.logs import get_logger
from bulrushbend.core.validation import format_validation_error
from bulrushbend.gateway.known_quarantines import KnownQuarantine
from bulrushbend.gateway.quarantine import PromptQuarantine
from bulrushbend.gateway.request_quarantine import RequestQuarantine

_log = get_logger("gateway.quarantines")
_FILE_NAME = "quarantines.json"
_SAVE_INTERVAL_MS = 250.0
# Interval at which a failed write is repeated, as on a disk that was full.
_RETRY_INTERVAL_MS = 5_000.0
# The time of day may have been set back meanwhile. A process needs as long to start.
_MIN_AGE_MS = 1_000.0


class _StoredQuarantine(BaseModel):
    """A quarantine as it is stored, with the time of day of its latest crash."""

    digests: list[str] = []
    identity: str = ""
    crashed_wall_ms: float
    duration_ms: float = Field(ge=0.0)
    is_established: bool = False
    is_simultaneous: bool = False


class _StoredQuarantines(BaseModel):
    quarantines: list[_StoredQuarantine]


class QuarantineFile:
    """Stores the quarantines of a gateway in its data folder.

    Parameters
    ----------
    folder : Path
        Data folder of the gateway.
    quarantine : PromptQuarantine
        Quarantines of prompt parts.
    request_quarantine : RequestQuarantine
        Quarantines of requests.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        folder: Path,
        quarantine: PromptQuarantine,
        request_quarantine: RequestQuarantine,
        clock: Clock,
    ):
        self._folder = folder
        self._quarantine = quarantine
        self._request_quarantine = request_quarantine
        self._clock = clock

    def load(self) -> None:
        """Adopt the quarantines that an earlier process stored.

        A file that cannot be read is reported in the log and ignored: other gateways
        may know the quarantines.
        """
        try:
            content = (self._folder / _FILE_NAME).read_bytes()
            stored = _StoredQuarantines.model_validate_json(content)
        except FileNotFoundError:
            return
        except ValidationError as error:
            self._report_unreadable(format_validation_error(error))
            return
        except OSError as error:
            self._report_unreadable(error.strerror or str(error))
            return
        for entry in stored.quarantines:
            known = self._from_stored(entry)
            if not known.is_valid:
                continue
            if isinstance(known.subject, str):
                self._request_quarantine.adopt(known)
            else:
                self._quarantine.adopt(known)

    async def run(self) -> None:
        """Store the quarantines whenever they change, until cancelled."""
        saved: tuple[KnownQuarantine, ...] = ()
        while True:
            known = self._quarantine.known + self._request_quarantine.known
            interval_ms = _SAVE_INTERVAL_MS
            if known != saved:
                content = self._encode(known)
                try:
                    await asyncio.to_thread(_replace_file, self._folder, content)
                    saved = known
                except OSError as error:
                    interval_ms = _RETRY_INTERVAL_MS
                    _log.warning(
                        "cannot store %d quarantines in %s, trying again in %.0f s: %s",
                        len(known),
                        self._folder,
                        interval_ms / 1000.0,
                        error.strerror or error,
                    )
            await self._clock.sleep_ms(interval_ms)

    def _report_unreadable(self, reason: str) -> None:
        _log.warning(
            "cannot read the quarantines in %s, starting without them: %s",
            self._folder / _FILE_NAME,
            reason,
        )

    def _encode(self, known: tuple[KnownQuarantine, ...]) -> bytes:
        offset_ms = self._clock.wall_ms() - self._clock.now_ms()
        stored = _StoredQuarantines(
            quarantines=[_to_stored(quarantine, offset_ms) for quarantine in known]
        )
        return stored.model_dump_json().encode()

    def _from_stored(self, entry: _StoredQuarantine) -> KnownQuarantine:
        age_ms = max(_MIN_AGE_MS, self._clock.wall_ms() - entry.crashed_wall_ms)
        return KnownQuarantine(
            entry.identity or frozenset(entry.digests),
            self._clock.now_ms() - age_ms,
            entry.duration_ms,
            entry.is_established,
            entry.is_simultaneous,
        )


def _to_stored(quarantine: KnownQuarantine, offset_ms: float) -> _StoredQuarantine:
    is_request = isinstance(quarantine.subject, str)
    return _StoredQuarantine(
        digests=[] if is_request else sorted(quarantine.subject),
        identity=quarantine.subject if is_request else "",
        crashed_wall_ms=quarantine.crashed_ms + offset_ms,
        duration_ms=quarantine.duration_ms,
        is_established=quarantine.is_established,
        is_simultaneous=quarantine.is_simultaneous,
    )


def _replace_file(folder: Path, content: bytes) -> None:
    """Durably replace the file; a crash leaves the old or the new content."""
    folder.mkdir(parents=True, exist_ok=True)
    temporary = folder / f"{_FILE_NAME}.new"
    with temporary.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(folder / _FILE_NAME)
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
