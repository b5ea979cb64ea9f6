from __future__ import annotations

import pytest

from toucanyard.patches import check_configuration
from toucanyard_standins.bench_restart import build_configuration, main


def test_configurations_of_every_size_are_valid() -> None:
    for endpoints, customers in ((14, 8), (4_400, 1_600)):
        check_configuration(build_configuration(endpoints, customers))


def test_one_row_for_each_size(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--times", "1"]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 5
