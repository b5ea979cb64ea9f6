from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.load_view import (
    MAX_SLOWNESS,
    MIN_SLOWNESS,
    REPORT_HALF_LIFE_MS,
    LoadReport,
    LoadView,
)
from toucanyard.names import Incarnation, RequestId

RUN, NEXT_RUN = Incarnation("i1"), Incarnation("i2")


def make_report(
    queued_blocks: int = 0, running: int = 0, age_ms: float = 0.0
) -> LoadReport:
    return LoadReport(RUN, running, age_ms, queued_blocks=queued_blocks)


def serve(view: LoadView, sent_ms: float, after_ms: float) -> None:
    request_id = RequestId(f"r{sent_ms}")
    view.record_dispatch(request_id, 100.0, 100.0, sent_ms, 8.0)
    view.record_first_token(request_id, after_ms, sent_ms + after_ms)
    view.record_end(request_id)


def test_older_report_of_one_run_is_dropped() -> None:
    view = LoadView()
    view.apply_report(make_report(5, age_ms=100.0), 1_000.0)
    view.apply_report(make_report(9, age_ms=600.0), 1_100.0)
    assert view.report is not None
    assert view.report.queued_blocks == 5
    view.apply_report(LoadReport(NEXT_RUN, 0, 600.0), 1_200.0)
    assert view.report.incarnation == NEXT_RUN


def test_trust_in_a_report_halves_with_its_age() -> None:
    view = LoadView()
    assert view.compute_trust(0.0) == 0.0
    view.apply_report(make_report(), 0.0)
    assert view.compute_trust(REPORT_HALF_LIFE_MS) == 0.5


def test_own_work_counts_from_dispatch_to_report_or_first_token() -> None:
    view = LoadView()
    view.apply_report(make_report(), 0.0)
    for number in range(3):
        view.record_dispatch(RequestId(f"r{number}"), 10.0, 10.0, 1.0 + number)
    assert view.compute_own_work() == 30.0
    view.record_first_token(RequestId("r0"), 5.0, 6.0)
    assert view.compute_own_work() == 20.0
    view.apply_report(make_report(), 2.5)
    assert view.compute_own_work() == 10.0


def test_wait_is_the_queue_or_the_lack_of_slots() -> None:
    view = LoadView()
    view.apply_report(make_report(queued_blocks=10, running=18), 0.0)
    assert view.compute_reported_work(8.0, 20, 50.0) == 80.0
    assert view.compute_reported_work(8.0, 16, 50.0) == 150.0


def test_late_first_tokens_tell_of_slowness_and_are_forgotten() -> None:
    view = LoadView()
    for number in range(10):
        serve(view, number * 1_000.0, 400.0)
    assert view.compute_slowness(10_000.0) > 3.0
    assert view.compute_slowness(200_000.0) < 1.01


def test_wait_behind_other_nodes_requests_is_not_slowness() -> None:
    """Eight nodes send cold prompts to one endpoint at the same moment.

    Each expects an idle endpoint, and the next report shows the common queue. If that
    wait counted as slowness, all would leave the endpoint and recompute elsewhere.
    """
    view = LoadView()
    view.apply_report(make_report(), 0.0)
    request_id = RequestId("r1")
    view.record_dispatch(request_id, 100.0, 100.0, 10.0, 8.0)
    view.apply_report(make_report(queued_blocks=100), 200.0)
    view.record_first_token(request_id, 950.0, 960.0)
    assert view.compute_slowness(960.0) == 1.0


def test_later_reports_do_not_excuse_a_slow_endpoint() -> None:
    """A slow endpoint processes its queue at a quarter of the speed.

    If each later report accounted for more of the wait, the endpoint would never be
    detected as slow.
    """
    view = LoadView()
    request_id = RequestId("r1")
    view.record_dispatch(request_id, 100.0, 100.0, 0.0, 8.0)
    for at_ms in range(100, 1_600, 100):
        left = 50 - at_ms // 32
        view.apply_report(make_report(queued_blocks=left), float(at_ms))
    view.record_first_token(request_id, 1_600.0, 1_600.0)
    assert view.compute_slowness(1_600.0) > 1.3


@given(st.lists(st.tuples(st.floats(0.0, 1e6), st.floats(0.0, 1e5)), max_size=30))
def test_slowness_keeps_its_bounds(served: list[tuple[float, float]]) -> None:
    view = LoadView()
    for sent_ms, after_ms in served:
        serve(view, sent_ms, after_ms)
        slowness = view.compute_slowness(sent_ms + after_ms)
        assert MIN_SLOWNESS <= slowness <= MAX_SLOWNESS
    assert not view.own
