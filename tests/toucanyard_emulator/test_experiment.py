from __future__ import annotations

import math
from pathlib import Path

import pytest
from emulator_examples import build_scenario

from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.experiment import RunResult, compare, compute_half_width
from toucanyard_emulator.reports import plot_windows, render_differences, render_result
from toucanyard_emulator.runner import run_scenario


def test_interval_of_values() -> None:
    assert compute_half_width([1.0]) == math.inf
    assert compute_half_width([1.0, 1.0, 1.0]) == 0.0
    assert compute_half_width([0.0, 1.0]) == pytest.approx(12.71 * math.sqrt(0.25))


def test_difference_is_taken_seed_by_seed(tmp_path: Path) -> None:
    """Variation between seeds affects both variants alike and must cancel out."""
    scenario = build_scenario(length_s=2.0)
    result = run_scenario(scenario, RelayPolicy(), 1)
    run_results = [
        RunResult(
            "small",
            variant,
            seed,
            type(result)(
                **{field: getattr(result, field) for field in result.__struct_fields__}
                | {"worth": seed / 10 + gain}
            ),
        )
        for variant, gain in (("usual", 0.0), ("new", 0.05))
        for seed in (1, 2, 3)
    ]
    (difference,) = compare(run_results)
    assert difference.mean == pytest.approx(0.05)
    assert difference.half_width == pytest.approx(0.0, abs=1e-9)
    assert difference.is_significant()
    assert "+0.050" in "\n".join(render_differences([difference]))
    assert "worth" in "\n".join(render_result(result))
    files = [tmp_path / "a.svg", tmp_path / "b.svg"]
    for file in files:
        plot_windows(run_results, file)
    assert files[0].read_bytes() == files[1].read_bytes()
