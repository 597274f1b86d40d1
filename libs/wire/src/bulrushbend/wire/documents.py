"""Conversion between a manifest and its message."""

from bulrushbend.core.errors import ManifestError
from bulrushbend.core.manifest import Manifest, parse_manifest
from bulrushbend.wire.fleet_pb2 import ManifestDocument


def pack_manifest(manifest: Manifest) -> ManifestDocument:
    """Return the message that carries `manifest` in canonical form."""
    return ManifestDocument(
        version=manifest.version,
        digest=manifest.digest,
        content=manifest.canonical(),
    )


def unpack_manifest(document: ManifestDocument, peer: str) -> Manifest:
    """Return the manifest that `document` carries.

    Parameters
    ----------
    document : ManifestDocument
        Message from a peer.
    peer : str
        Name of the peer, for error messages.

    Raises
    ------
    ManifestError
        If the content is invalid, or its version or digest differs from the message.
    """
    manifest = parse_manifest(document.content, peer)
    if manifest.version != document.version or manifest.digest != document.digest:
        raise ManifestError(
            "version or digest differs from the content",
            step="manifest",
            peer=peer,
        )
    return manifest
