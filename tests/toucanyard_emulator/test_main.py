from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from toucanyard_emulator.main import EXIT_USAGE, main
from toucanyard_emulator.scenario import find_scenario

SHORT = f'extends = "{find_scenario("_long_and_short")}"\nname = "s"\nlength_s = 2.0\n'


def test_emulate_prints_a_result(tmp_path: Path) -> None:
    file, plot = tmp_path / "s.toml", tmp_path / "s.svg"
    file.write_text(SHORT)
    arguments = ["emulate", str(file), "--json", "--plot", str(plot)]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0, result.output
    assert 0 < msgspec.json.decode(result.stdout)["worth"] <= 1
    assert plot.read_text().startswith("<?xml")


@pytest.mark.parametrize(
    "arguments",
    [
        ["emulate", "no-such-scenario"],
        ["emulate", "calm", "--variant", "x=placement.speed:1"],
        ["experiment", "calm", "--variant", "x"],
        ["ablate", "no-such-scenario"],
    ],
)
def test_bad_input_ends_with_an_error_and_no_result(arguments: list[str]) -> None:
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == EXIT_USAGE
    assert result.stdout == ""
    assert "error:" in result.stderr
