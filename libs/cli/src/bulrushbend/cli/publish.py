"""Publish a manifest through any of the control replicas."""

import enum
from dataclasses import dataclass

from bulrushbend.cli.calls import CallFailure, call_replica
from bulrushbend.cli.exits import ExitCode
from bulrushbend.core.clock import Clock
from bulrushbend.core.manifest import Manifest
from bulrushbend.wire.documents import pack_manifest
from bulrushbend.wire.fleet_pb2 import PublishReply, PublishRequest, StatusRequest

_RETRY_DELAY_MS = 100.0
_MIN_CALL_TIMEOUT_MS = 50.0


class PublishResult(enum.StrEnum):
    """Result of publishing a manifest."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    STALE = "stale"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"

    @property
    def exit_code(self) -> ExitCode:
        """Exit code of the command for this result."""
        return _EXIT_CODES[self]


_EXIT_CODES = {
    PublishResult.ACCEPTED: ExitCode.OK,
    PublishResult.CONFLICT: ExitCode.CONFLICT,
    PublishResult.STALE: ExitCode.CONFLICT,
    PublishResult.INVALID: ExitCode.INVALID,
    PublishResult.UNAVAILABLE: ExitCode.UNAVAILABLE,
    PublishResult.UNKNOWN: ExitCode.UNAVAILABLE,
}
_FINAL_RESULTS = {
    PublishReply.ACCEPTED: PublishResult.ACCEPTED,
    PublishReply.CONFLICT: PublishResult.CONFLICT,
    PublishReply.STALE: PublishResult.STALE,
    PublishReply.INVALID: PublishResult.INVALID,
}


@dataclass(frozen=True)
class PublishOutcome:
    """Outcome of publishing a manifest.

    Attributes
    ----------
    result : PublishResult
        Result of the publish.
    version : int
        Version in force, 0 if unknown.
    digest : str
        Digest of the manifest in force; on a conflict, the one already published.
    message : str
        Message for the operator.
    replica : str
        Address of the replica that answered, empty if none did.
    """

    result: PublishResult
    version: int = 0
    digest: str = ""
    message: str = ""
    replica: str = ""


async def publish(
    addresses: list[str], manifest: Manifest, timeout_ms: float, clock: Clock
) -> PublishOutcome:
    """Send `manifest` to the replicas in turn until one returns a final result.

    Resending is safe: control accepts a version again if its content is the same.

    Parameters
    ----------
    addresses : list of str
        gRPC addresses of control replicas.
    manifest : Manifest
        Manifest to publish.
    timeout_ms : float
        Time limit in milliseconds over all calls.
    clock : Clock
        Source of time.
    """
    request = PublishRequest(manifest=pack_manifest(manifest))
    deadline_ms = clock.now_ms() + timeout_ms
    maybe_sent = False
    reason = "no replica was called before the deadline"
    while True:
        for address in addresses:
            remaining_ms = deadline_ms - clock.now_ms()
            if remaining_ms <= 0:
                return _unconfirmed_outcome(maybe_sent, reason)
            call_timeout_ms = max(_MIN_CALL_TIMEOUT_MS, remaining_ms / 2)
            reply = await call_replica(address, "Publish", request, call_timeout_ms)
            if isinstance(reply, CallFailure):
                maybe_sent = maybe_sent or reply.maybe_sent
                reason = f"{reply.address}: {reply.reason}"
                continue
            if reply.result in _FINAL_RESULTS:
                return _final_outcome(reply, manifest, address, maybe_sent)
            maybe_sent = True
            reason = (
                f"{address}: {reply.message or 'no majority of the control replicas'}"
            )
        await clock.sleep_ms(_RETRY_DELAY_MS)


def _unconfirmed_outcome(maybe_sent: bool, reason: str) -> PublishOutcome:
    if maybe_sent:
        message = f"the manifest may have been accepted; publish it again ({reason})"
        return PublishOutcome(PublishResult.UNKNOWN, message=message)
    message = f"no control replica was reached; nothing was sent ({reason})"
    return PublishOutcome(PublishResult.UNAVAILABLE, message=message)


def _final_outcome(
    reply: PublishReply, manifest: Manifest, address: str, maybe_sent: bool
) -> PublishOutcome:
    result = _FINAL_RESULTS[reply.result]
    messages = {
        PublishResult.ACCEPTED: f"version {manifest.version} was accepted",
        PublishResult.CONFLICT: (
            f"version {reply.version} is already published with digest "
            f"{reply.digest}; the digest of this file is {manifest.digest}"
        ),
        PublishResult.STALE: (
            f"version {reply.version} is in force and newer than {manifest.version}"
        ),
        PublishResult.INVALID: reply.message,
    }
    message = messages[result]
    if result is PublishResult.STALE and maybe_sent:
        message += (
            "; an earlier call of this command may have been accepted before that"
        )
    return PublishOutcome(result, reply.version, reply.digest, message, address)


async def wait_in_force(
    addresses: list[str], version: int, timeout_ms: float, clock: Clock
) -> list[str]:
    """Wait until all known processes have `version` or a newer one in force.

    Returns
    -------
    list of str
        Names of the processes with an older version at the deadline; the single entry
        ``"control"`` if no replica answered.
    """
    deadline_ms = clock.now_ms() + timeout_ms
    behind = ["control"]
    while True:
        for address in addresses:
            remaining_ms = deadline_ms - clock.now_ms()
            if remaining_ms <= 0:
                return behind
            reply = await call_replica(address, "Status", StatusRequest(), remaining_ms)
            if isinstance(reply, CallFailure):
                continue
            behind = [
                status.member.name
                for status in reply.members
                if status.manifest_version < version
            ]
            if not behind and reply.manifest_version >= version:
                return []
        await clock.sleep_ms(_RETRY_DELAY_MS)
