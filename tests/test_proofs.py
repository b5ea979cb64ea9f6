"""Check that every test named in docs/PROOFS.md exists."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
FOLDERS = {
    "core": "toucanyard",
    "node": "toucanyard_node",
    "platform": "toucanyard_platform",
    "emulator": "toucanyard_emulator",
    "stand-ins": "toucanyard_standins",
}
NAMED = re.compile(r"`((?:\w+/)?\w*)::(\w+)`")
"""File, or sub-folder and file, and name of a test."""


def test_each_named_test_exists() -> None:
    page = (ROOT / "docs" / "PROOFS.md").read_text()
    missing = []
    count = 0
    for line in page.splitlines():
        file = ""
        for match in NAMED.finditer(line):
            file = match[1] or file
            count += 1
            folder, _, name = file.rpartition("/")
            files = [
                ROOT / "tests" / each / folder / f"test_{name}.py"
                for each in FOLDERS.values()
            ]
            texts = [each.read_text() for each in files if each.exists()]
            if not any(f"def test_{match[2]}(" in text for text in texts):
                missing.append(f"{file}::{match[2]}")
    assert not missing
    assert count > 60
