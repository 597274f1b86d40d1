"""Copy the run-time dependencies and sources of the program into one folder.

Usage: python tools/stage.py TARGET

Copies the installed packages of the running interpreter, as pinned in
requirements.lock, so that a build downloads nothing. Development packages are left out;
a package that is missing or has another version fails the build.
"""

import re
import shutil
import sys
from importlib import metadata
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Packages that the sources import; their dependencies follow from package metadata.
DIRECT_DEPENDENCIES = (
    "absl-py",
    "fire",
    "grpclib",
    "prometheus_client",
    "protobuf",
    "pydantic",
    "tornado",
)
LIBRARIES = (
    "core",
    "wire",
    "process",
    "share",
    "store",
    "control",
    "router",
    "agent",
    "standins",
    "cli",
)


class StageError(Exception):
    """Raised when the installed packages differ from the lock file."""


def normalise(name: str) -> str:
    """Return the normalised form of a package name (PEP 503)."""
    return re.sub(r"[-_.]+", "-", name).lower()


def read_lock(path: Path) -> dict[str, str]:
    """Return the pinned version of each package."""
    pins = {}
    for line in path.read_text().splitlines():
        name, _, version = line.partition("==")
        if version:
            pins[normalise(name)] = version.strip()
    return pins


def runtime_packages(roots: tuple[str, ...]) -> list[str]:
    """Return `roots` and their transitive dependencies, sorted by name."""
    found: set[str] = set()
    pending = [normalise(name) for name in roots]
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        for requirement in metadata.requires(name) or ():
            if ";" not in requirement:
                required = re.match(r"[A-Za-z0-9._-]+", requirement)
                pending.append(normalise(required.group()))
    return sorted(found)


def copy_package(name: str, version: str | None, target: Path) -> None:
    """Copy the files of an installed package.

    Raises
    ------
    StageError
        If the package is not installed in the pinned version.
    """
    try:
        distribution = metadata.distribution(name)
    except metadata.PackageNotFoundError:
        raise StageError(f"{name} is not installed; run 'make setup'") from None
    if distribution.version != version:
        raise StageError(
            f"{name} {distribution.version} is installed, but requirements.lock pins"
            f" {version}"
        )
    for file in distribution.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(distribution.locate_file(file), copy)


def copy_library(name: str, target: Path) -> None:
    """Copy the sources of one library of this repository."""
    source = ROOT / "libs" / name / "src" / "bulrushbend" / name
    ignored = shutil.ignore_patterns("__pycache__", "*.proto")
    shutil.copytree(source, target / "bulrushbend" / name, ignore=ignored)


def main() -> int:
    """Fill the target folder and return the exit code."""
    target = Path(sys.argv[1])
    pins = read_lock(ROOT / "requirements.lock")
    try:
        for package in runtime_packages(DIRECT_DEPENDENCIES):
            copy_package(package, pins.get(package), target)
    except StageError as error:
        print(f"stage: {error}", file=sys.stderr)
        return 1
    for library in LIBRARIES:
        copy_library(library, target)
    return 0


if __name__ == "__main__":
    sys.exit(main())
