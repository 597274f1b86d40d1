"""Validate settings and manifest files without starting a process."""

from pathlib import Path
from typing import Any

from bulrushbend.cli.exits import UsageError
from bulrushbend.core.manifest import load_manifest
from bulrushbend.core.settings import (
    AgentSettings,
    ControlSettings,
    RouterSettings,
    load_settings,
)
from bulrushbend.standins.load.settings import LoadSettings
from bulrushbend.standins.settings import (
    ApplicationSettings,
    EngineSettings,
    PlatformSettings,
)

ROLES: dict[str, type[Any]] = {
    "control": ControlSettings,
    "router": RouterSettings,
    "agent": AgentSettings,
    "engine": EngineSettings,
    "application": ApplicationSettings,
    "platform": PlatformSettings,
    "load": LoadSettings,
}


def describe_manifest(path: str | Path) -> dict[str, Any]:
    """Validate a manifest file and return its version, digest and counts.

    Raises
    ------
    ManifestError
        If the file is invalid.
    """
    manifest = load_manifest(path)
    return {
        "file": str(path),
        "version": manifest.version,
        "digest": manifest.digest,
        "services": len(manifest.services),
        "teams": len(manifest.teams),
        "endpoints": len(manifest.endpoints),
        "slots": sum(endpoint.slots for endpoint in manifest.endpoints),
    }


def describe_settings(role: str, path: str | Path) -> dict[str, Any]:
    """Validate a settings file and return its settings, defaults included.

    Raises
    ------
    UsageError
        If the role is unknown.
    SettingsError
        If the file is invalid.
    """
    model = ROLES.get(role)
    if model is None:
        allowed = ", ".join(ROLES)
        raise UsageError(f"role {role!r} is not one of {allowed}", step="settings")
    settings = load_settings(path, model)
    return {"file": str(path), "role": role, "settings": settings.model_dump()}
