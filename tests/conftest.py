"""Make test results deterministic and mark known failing tests."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("ci")


def find_known_red() -> set[str]:
    """Return the test names in KNOWN-RED.txt: each line up to its first comma."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split(",")[0].strip() for line in lines if line.strip()}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known failing tests, so that a run reports them separately."""
    known = find_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
