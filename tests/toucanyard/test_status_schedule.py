from __future__ import annotations

from toucanyard.status_schedule import (
    QUIET_MS,
    STATUS_MS,
    URGENT_MS,
    Audience,
    StatusSchedule,
)

AUDIENCES = set(Audience)


def start_schedule() -> StatusSchedule:
    schedule = StatusSchedule()
    assert schedule.find_due(0.0, is_full_mesh=False) == AUDIENCES
    for audience in Audience:
        schedule.record_sent(audience, 0.0)
    return schedule


def test_audiences_are_due_by_themselves_and_who_stands_by_less_often() -> None:
    schedule = start_schedule()
    assert schedule.find_due(STATUS_MS - 1.0, is_full_mesh=False) == set()
    assert schedule.find_due(STATUS_MS, is_full_mesh=False) == {
        Audience.PEERS,
        Audience.GROUP,
    }
    assert schedule.find_due(QUIET_MS, is_full_mesh=False) == AUDIENCES


def test_node_without_calls_reports_less_often_but_not_in_a_mesh() -> None:
    schedule = start_schedule()
    quiet = {"is_quiet": True, "is_full_mesh": False}
    assert schedule.find_due(STATUS_MS, **quiet) == set()
    assert schedule.find_due(QUIET_MS, **quiet) == AUDIENCES
    meshed = schedule.find_due(STATUS_MS, is_full_mesh=True, is_quiet=True)
    assert Audience.PEERS in meshed


def test_news_goes_early_only_to_the_audience_that_lacks_it() -> None:
    schedule = start_schedule()
    schedule.mark_due(Audience.GROUP)
    assert schedule.find_due(URGENT_MS - 1.0, is_full_mesh=False) == set()
    assert schedule.find_due(URGENT_MS, is_full_mesh=False) == {Audience.GROUP}
    schedule.record_sent(Audience.GROUP, URGENT_MS)
    assert schedule.find_due(2 * URGENT_MS, is_full_mesh=False) == set()


def test_news_goes_at_once_in_a_mesh() -> None:
    schedule = start_schedule()
    schedule.mark_due(Audience.PEERS)
    assert schedule.find_due(0.0, is_full_mesh=True) == {Audience.PEERS}
