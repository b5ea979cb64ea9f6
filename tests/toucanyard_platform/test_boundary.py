"""Check that the platform's names occur only in the adapter, its tests and deploy."""

from __future__ import annotations

import platform
import re
import subprocess
import sys
from pathlib import Path

from toucanyard_platform import wire_names

ROOT = Path(__file__).parent.parent.parent
CHECKED_FOLDERS = ("packages", "tests")
PLATFORM_WORDS = (
    "bootEpoch",
    "fencingToken",
    "frontend",
    "gapTargetMs",
    "hasMore",
    "kvStoreAddr",
    "kv-events",
    "log-append",
    "log-read",
    "maxConns",
    "nextToken",
    "non_idempotent",
    "pathPrefix",
    "routeKind",
    "TOUCANYARD_NODE_FILE",
    "ttlS",
)
"""Words of the platform's protocol that have no other meaning in this repository."""
SHARED_HEADERS: tuple[str, ...] = (
    wire_names.LAST_EVENT_ID,
    wire_names.AUTHORIZATION,
    wire_names.DEADLINE,
    wire_names.CACHE_SCOPE,
    wire_names.RETRY_AFTER,
)
"""Headers that this project's own interface also uses."""


def test_names_of_the_wire_stand_only_in_the_adapter() -> None:
    headers = [
        value
        for name, value in vars(wire_names).items()
        if name.isupper() and isinstance(value, str) and "-" in value
    ]
    names = {
        each.lower()
        for each in (*headers, *wire_names.RESERVED_HEADERS, *PLATFORM_WORDS)
    }
    names -= {each.lower() for each in SHARED_HEADERS}
    pattern = re.compile("|".join(rf"\b{re.escape(each)}\b" for each in names))
    found = [
        f"{file.relative_to(ROOT)}:{number}: {match[0]}"
        for folder in CHECKED_FOLDERS
        for file in sorted((ROOT / folder).rglob("*.py"))
        if not {"build", Path(__file__).parent.name}.intersection(file.parts)
        for number, line in enumerate(file.read_text().lower().splitlines(), 1)
        if (match := pattern.search(line))
    ]
    assert not found


def test_folder_does_not_hide_the_standard_library() -> None:
    """Guards against the folder shadowing the standard library's `platform` module.

    Libraries import that module, both in processes started at the root and in tests.
    """
    code = "import platform, sys; sys.exit(not hasattr(platform, 'machine'))"
    done = subprocess.run([sys.executable, "-P", "-c", code], cwd=ROOT, check=False)
    assert done.returncode == 0
    assert platform.system()


def test_libraries_of_the_build_are_pinned() -> None:
    required = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    pinned = (ROOT / "constraints.txt").read_text().lower()
    for name in required:
        if name and not name.startswith("#"):
            assert f"{name.lower()}==" in pinned
