"""The manifest in force in one process; its version never decreases."""

import asyncio
import traceback
from collections.abc import Callable

from bulrushbend.core.errors import ManifestError
from bulrushbend.core.events import EventKind, EventLog
from bulrushbend.core.logs import get_logger
from bulrushbend.core.manifest import Manifest
from bulrushbend.wire.documents import unpack_manifest
from bulrushbend.wire.fleet_pb2 import ManifestDocument

_log = get_logger("process.manifest")


class ActiveManifest:
    """Holds the newest manifest that this process has adopted.

    The first manifest must be confirmed by a majority: otherwise a restarted process
    that connects to a stale control replica could adopt a version older than the one
    it had before. Later manifests are adopted from any peer if their version is higher.

    Parameters
    ----------
    events : EventLog
        Receives the event ``manifest-in-force``.
    """

    def __init__(self, events: EventLog):
        self._events = events
        self._current: Manifest | None = None
        self._version = 0
        self._document: ManifestDocument | None = None
        self._listeners: list[Callable[[Manifest], None]] = []
        self._adopted = asyncio.Event()

    @property
    def current(self) -> Manifest | None:
        """The manifest in force, or None before the first one is confirmed."""
        return self._current

    @property
    def version(self) -> int:
        """Newest version that was applied completely, 0 before the first one."""
        return self._version

    def add_listener(self, listener: Callable[[Manifest], None]) -> None:
        """Call `listener` with the manifest in force and each later one."""
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    async def wait(self) -> Manifest:
        """Wait for the first manifest and return the one in force."""
        await self._adopted.wait()
        assert self._current is not None
        return self._current

    def document_for(self, peer_version: int) -> ManifestDocument | None:
        """Return the manifest message if it is newer than `peer_version`, else None."""
        if self._document is None or self._document.version <= peer_version:
            return None
        return self._document

    def adopt_if_newer(
        self,
        document: ManifestDocument,
        *,
        peer: str,
        confirmed: bool = False,
        **delays: float,
    ) -> bool:
        """Adopt a manifest if it is newer than the one in force.

        Parameters
        ----------
        document : ManifestDocument
            Manifest from a peer.
        peer : str
            Name of the peer.
        confirmed : bool, default=False
            Whether a majority of the control replicas confirmed that it is the newest
            accepted manifest. Required for the first one.
        **delays : float
            Fields of the event ``manifest-in-force`` in milliseconds.

        Returns
        -------
        bool
            True if the manifest was adopted. If a listener fails, it is not, so that
            control sends it again.
        """
        if document.version <= self.version:
            return False
        if self._current is None and not confirmed:
            return False
        if self._current is not None and document.version < self._current.version:
            # Older than a manifest that was confirmed but not applied completely.
            return False
        try:
            manifest = unpack_manifest(document, peer)
        except ManifestError as error:
            _log.error(
                "rejected manifest version %d from %s; keeping version %d: %s",
                document.version,
                peer,
                self.version,
                error,
            )
            return False
        if not self._apply(manifest):
            return False
        self._version = manifest.version
        self._document = ManifestDocument()
        self._document.CopyFrom(document)
        self._events.write(
            EventKind.MANIFEST_IN_FORCE,
            version=manifest.version,
            digest=document.digest,
            peer=peer,
            **delays,
        )
        _log.info("manifest version %d from %s is in force", manifest.version, peer)
        self._adopted.set()
        return True

    def _apply(self, manifest: Manifest) -> bool:
        """Call all listeners; return whether none of them failed."""
        self._current = manifest
        succeeded = True
        for listener in self._listeners:
            try:
                listener(manifest)
            except Exception:
                succeeded = False
                _log.error(
                    "cannot apply manifest version %d; version %d stays the reported "
                    "one until the next try\n%s",
                    manifest.version,
                    self.version,
                    traceback.format_exc(),
                )
        return succeeded
