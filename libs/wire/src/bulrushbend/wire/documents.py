"""Conversion between manifests and protobuf messages."""

import hashlib

from bulrushbend.core.errors import ManifestError
from bulrushbend.core.manifest import Manifest, parse_manifest
from bulrushbend.wire.fleet_pb2 import ManifestDocument


def pack_manifest(manifest: Manifest) -> ManifestDocument:
    """Return the message for `manifest`, with its content in canonical form."""
    return ManifestDocument(
        version=manifest.version,
        digest=manifest.digest,
        content=manifest.canonical(),
    )


def unpack_manifest(document: ManifestDocument, peer: str) -> Manifest:
    """Return the manifest that `document` contains.

    Parameters
    ----------
    document : ManifestDocument
        Message received from a peer.
    peer : str
        Name of the peer, for error messages.

    Raises
    ------
    ManifestError
        If the content is invalid, or its version or digest differs from the message.
    """
    manifest = parse_manifest(document.content, peer)
    digest = hashlib.sha256(document.content).hexdigest()
    if manifest.version != document.version or digest != document.digest:
        raise ManifestError(
            "version or digest differs from the content",
            step="manifest",
            peer=peer,
        )
    return manifest
