from __future__ import annotations

from toucanyard.detectors import (
    AccrualDetector,
    ErrorRunDetector,
    SourceQuorum,
    TimeoutDetector,
)


def test_error_run_needs_errors_together_and_without_an_answer() -> None:
    run = ErrorRunDetector(3, 1_000.0)
    for now_ms in (0.0, 100.0, 200.0):
        assert not run.is_suspect(now_ms)
        run.record_error(now_ms)
    assert run.is_suspect(200.0)
    run.record_success(300.0)
    run.record_error(400.0)
    assert not run.is_suspect(400.0) and run.has_error()
    for now_ms in (2_000.0, 3_000.0, 4_000.0):
        run.record_error(now_ms)
    assert not run.is_suspect(4_000.0)


def test_silence_counts_from_the_last_answer() -> None:
    silence = TimeoutDetector(1_000.0, 0.0)
    silence.record_success(500.0)
    silence.record_error(600.0)
    assert not silence.is_suspect(1_500.0)
    assert silence.is_suspect(1_501.0)


def test_accrual_waits_longer_for_who_answers_irregularly() -> None:
    steady, irregular = (
        AccrualDetector(8.0, 250.0, 0.0),
        AccrualDetector(8.0, 250.0, 0.0),
    )
    now_ms = 0.0
    for number in range(64):
        now_ms += 250.0
        steady.record_success(now_ms)
        if number % 4 == 0:
            irregular.record_success(now_ms)
    irregular.record_success(now_ms)
    assert steady.compute_phi(now_ms + 800.0) > irregular.compute_phi(now_ms + 800.0)
    assert steady.is_suspect(now_ms + 60_000.0)


def test_sources_count_once_and_for_a_time() -> None:
    count = SourceQuorum(2, 1_000.0)
    count.record_report("n1", 0.0)
    count.record_report("n1", 500.0)
    assert not count.is_condemned(500.0)
    count.record_report("n2", 600.0)
    assert count.is_condemned(600.0)
    assert not count.is_condemned(1_501.0)
    assert count.prune(2_000.0)
