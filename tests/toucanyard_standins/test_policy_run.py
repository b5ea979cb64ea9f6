from __future__ import annotations

import msgspec
import pytest

from toucanyard_standins import policy_run
from toucanyard_standins.policy_conditions import Condition, Policy
from toucanyard_standins.policy_run import Run
from toucanyard_standins.policy_workload import HANGANG, VALDIVIA


@pytest.fixture(autouse=True)
def shorten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(policy_run, "END_MS", 8_000.0)
    monkeypatch.setattr(policy_run, "DISRUPTION_START_MS", 3_000.0)
    monkeypatch.setattr(policy_run, "OVERLOAD_MS", 1_000.0)


def test_same_seed_gives_the_same_figures() -> None:
    first = Run(VALDIVIA, Condition.LOST_EVENTS, Policy.TOUCANYARD, 3).execute()
    second = Run(VALDIVIA, Condition.LOST_EVENTS, Policy.TOUCANYARD, 3).execute()
    assert msgspec.structs.astuple(first) == msgspec.structs.astuple(second)


@pytest.mark.parametrize("condition", list(Condition))
def test_every_request_ends_once(condition: Condition) -> None:
    result = Run(HANGANG, condition, Policy.TOUCANYARD, 1).execute()
    assert result.offered > 0
    assert result.served + result.refused + result.failed == result.offered
