from __future__ import annotations

from pathlib import Path

import pytest

from toucanyard_emulator.scenario import (
    InvalidScenarioError,
    find_scenario,
    list_scenarios,
    load_scenario,
)

BASE = str(find_scenario("_long_and_short"))


def write(folder: Path, text: str) -> Path:
    file = folder / "s.toml"
    file.write_text(f'extends = "{BASE}"\n{text}')
    return file


def test_all_that_come_with_the_package_can_be_played() -> None:
    found = [load_scenario(file) for file in list_scenarios()]
    assert len(found) >= 6
    assert len({each.name for each in found}) == len(found)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("nodes = 0", "nodes"),
        ("nodes = 'eight'", "nodes"),
        ("speed = 3", "speed"),
        ("length_s = -1.0", "length_s"),
        ("kinds = []", "kinds"),
        ('faults = [{ type = "fire", at_s = 1.0 }]', "faults"),
        ('faults = [{ type = "crash", at_s = 1.0 }]', "for_s"),
        ('faults = [{ type = "new_weights", at_s = 99.0 }]', "faults[0].at_s"),
        (
            'faults = [{ type = "hot_subject", at_s = 1.0, for_s = 1.0, kind = "x" }]',
            "faults[0].kind",
        ),
        ("nodes = ", "s.toml"),
    ],
)
def test_what_is_wrong_is_named(tmp_path: Path, text: str, field: str) -> None:
    with pytest.raises(InvalidScenarioError) as caught:
        load_scenario(write(tmp_path, text))
    assert "s.toml" in str(caught.value)
    assert field in str(caught.value)


def test_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(InvalidScenarioError, match=r"none\.toml"):
        load_scenario(tmp_path / "none.toml")


def test_files_that_build_on_each_other_in_a_circle_are_refused(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text('extends = "s.toml"')
    with pytest.raises(InvalidScenarioError):
        load_scenario(file)
