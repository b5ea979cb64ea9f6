from __future__ import annotations

from toucanyard.link_messages import SpeedReport, WorkReport
from toucanyard.names import EndpointName, ServiceName
from toucanyard.uneven_load.load_reports import (
    MAX_PENDING,
    MAX_REPORTED,
    MAX_SAMPLES,
    MAX_SERVICES,
    REPORT_MS,
    REPORTED_PER_S,
    LoadReports,
)

A = EndpointName("a")


def build_speed(number: int) -> SpeedReport:
    return SpeedReport(EndpointName(f"e{number}"), 0.1, 1)


def test_samples_of_one_replica_are_added_up() -> None:
    reports = LoadReports()
    reports.add_speed(SpeedReport(A, 0.25, 1))
    reports.add_speed(SpeedReport(A, 0.5, 2))
    report = reports.take(0.0)
    assert report is not None
    assert report.speeds == (SpeedReport(A, 0.75, 3),)


def test_report_is_due_once_per_interval() -> None:
    """Statuses are sent up to 13 times a second."""
    reports = LoadReports()
    reports.add_speed(SpeedReport(A, 0.25, 1))
    assert reports.take(0.0) is not None
    reports.add_speed(SpeedReport(A, 0.25, 1))
    assert reports.take(REPORT_MS - 1.0) is None
    assert reports.take(REPORT_MS) is not None
    assert reports.take(2 * REPORT_MS) is None


def test_reports_are_bounded_and_complete_in_the_end() -> None:
    """4,400 replicas state their load within a second."""
    reports = LoadReports()
    for number in range(4_400):
        reports.add_speed(build_speed(number))
    told: set[EndpointName] = set()
    at_ms = 0.0
    while (report := reports.take(at_ms)) is not None:
        assert len(report.speeds) <= MAX_REPORTED
        told.update(each.replica for each in report.speeds)
        at_ms += REPORT_MS
    assert len(told) == 4_400
    assert len(told) <= MAX_REPORTED + REPORTED_PER_S * at_ms / 1_000


def test_what_waits_is_bounded() -> None:
    """No peer is linked for an hour, while replicas restart under new names."""
    reports = LoadReports()
    for number in range(MAX_PENDING + 100):
        reports.add_speed(build_speed(number))
        reports.add_work(WorkReport(ServiceName(f"s{number}"), True, 1, 1.0, 1.0))
    for _ in range(MAX_SAMPLES + 10):
        reports.add_speed(SpeedReport(A, 1.0, 1))
    report = reports.take(0.0)
    assert report is not None
    assert len(report.work) <= 2 * MAX_SERVICES
    assert reports.count_pending() <= MAX_PENDING
    assert all(each.samples <= MAX_SAMPLES for each in report.speeds)
