from __future__ import annotations

from toucanyard.detectors import Accrual, ErrorRun, Silence, SourceCount


def test_error_run_needs_errors_together_and_without_an_answer() -> None:
    run = ErrorRun(3, 1_000.0)
    for now_ms in (0.0, 100.0, 200.0):
        assert not run.is_suspect(now_ms)
        run.note_error(now_ms)
    assert run.is_suspect(200.0)
    run.note_ok(300.0)
    run.note_error(400.0)
    assert not run.is_suspect(400.0) and run.has_error()
    for now_ms in (2_000.0, 3_000.0, 4_000.0):
        run.note_error(now_ms)
    assert not run.is_suspect(4_000.0)


def test_silence_counts_from_the_last_answer() -> None:
    silence = Silence(1_000.0, 0.0)
    silence.note_ok(500.0)
    silence.note_error(600.0)
    assert not silence.is_suspect(1_500.0)
    assert silence.is_suspect(1_501.0)


def test_accrual_waits_longer_for_who_answers_irregularly() -> None:
    steady, irregular = Accrual(8.0, 250.0, 0.0), Accrual(8.0, 250.0, 0.0)
    now_ms = 0.0
    for number in range(64):
        now_ms += 250.0
        steady.note_ok(now_ms)
        if number % 4 == 0:
            irregular.note_ok(now_ms)
    irregular.note_ok(now_ms)
    assert steady.compute_phi(now_ms + 800.0) > irregular.compute_phi(now_ms + 800.0)
    assert steady.is_suspect(now_ms + 60_000.0)


def test_sources_count_once_and_for_a_time() -> None:
    count = SourceCount(2, 1_000.0)
    count.note_report("n1", 0.0)
    count.note_report("n1", 500.0)
    assert not count.is_condemned(500.0)
    count.note_report("n2", 600.0)
    assert count.is_condemned(600.0)
    assert not count.is_condemned(1_501.0)
    assert count.prune(2_000.0)
