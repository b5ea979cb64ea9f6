from __future__ import annotations

from toucanyard_standins.bench_detectors import (
    SCENARIOS,
    Result,
    Scenario,
    build_rules,
    build_trace,
    judge,
    measure_bytes,
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
    judge(rule, scenario, build_trace(scenario, 1), result)
    assert result.missed == result.wrong == 0
    assert len(result.notice_ms) == 1


def test_second_after_many_deaths_stays_within_a_nodes_bytes() -> None:
    """Fourteen endpoints die at once and every node hears of it on several links.

    News that leaves at once on each link crosses news that comes on it: the worst
    second took 3.8 KB of the 3 KB for control, and the last node knew after 12 s.
    """
    sent = measure_bytes(80, 14, 12)
    assert sent.worst_bytes <= 3_000
    assert sent.all_ms is not None
    assert sent.all_ms <= 4_000
