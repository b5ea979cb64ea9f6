from __future__ import annotations

from toucanyard_standins.detector_traces import (
    SCENARIOS,
    Result,
    Scenario,
    build_rules,
    build_trace,
    evaluate_rule,
)


def find_scenario(name: str) -> Scenario:
    return next(each for each in SCENARIOS if each.name == name)


def test_trace_depends_on_its_seed_only() -> None:
    scenario = find_scenario("process dies")
    assert build_trace(scenario, 1) == build_trace(scenario, 1)
    assert build_trace(scenario, 1) != build_trace(scenario, 2)


def test_the_rule_in_use_notices_a_death_and_wrongs_nobody() -> None:
    scenario = find_scenario("process dies")
    result = Result()
    rule = build_rules()[-1]
    evaluate_rule(rule, scenario, build_trace(scenario, 1), result)
    assert result.missed == result.wrong == 0
    assert len(result.detection_ms) == 1
