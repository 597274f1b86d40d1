"""Authentication of callers by the hash of their bearer token."""

from bulrushbend.core.manifest import Manifest, Team, hash_token
from bulrushbend.router.errors import refused

_SCHEME = "bearer"


def authenticate(manifest: Manifest, authorization: str | None) -> Team:
    """Return the team that owns the bearer token.

    Parameters
    ----------
    manifest : Manifest
        Manifest in force.
    authorization : str or None
        Value of the ``Authorization`` header.

    Raises
    ------
    RequestEndedError
        Status 401 if the token is missing or unknown.
    """
    scheme, _, token = (authorization or "").strip().partition(" ")
    if scheme.lower() != _SCHEME or not token.strip():
        raise refused(401, "token-missing", "a bearer token is needed")
    team = manifest.teams_by_token.get(hash_token(token.strip()))
    if team is None:
        raise refused(401, "token-unknown", "the bearer token belongs to no team")
    return team
