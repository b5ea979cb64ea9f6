from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from toucanyard_cli.exit_codes import ExitCode
from toucanyard_cli.loss_report import LossReason, LossReport, build_report, parse_calls
from toucanyard_cli.main import main

T = "timestamp=2026-01-01T00:00:"


def sent(call: str, at: str, **fields: object) -> str:
    found = {"queued_ms": 0, "wait_ms": 1.5, "attempt": 1} | fields
    return f"{T}{at}Z level=info event=sent call={call} {render(found)}"


def ended(call: str, at: str, **fields: object) -> str:
    found = {
        "ending": "answered",
        "after_ms": 90,
        "first_ms": 50,
        "target_ms": 400,
        "reason": '"a = b"',
        "route": "r",
    } | fields
    return f"{T}{at}Z level=info event=ended call={call} {render(found)}"


def render(fields: dict[str, object]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())


def analyze(*lines: str) -> LossReport:
    return build_report(parse_calls(lines), 2)


def test_call_in_time_is_no_loss() -> None:
    report = analyze(sent("a", "01.000"), ended("a", "01.090"))
    assert (report.calls, report.in_time, report.reasons) == (1, 1, {})


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (
            [sent("a", "01.600", queued_ms=600), ended("a", "01.9", first_ms=700)],
            LossReason.NODE_QUEUE,
        ),
        (
            [
                sent("a", "01.000"),
                ended("a", "01.5", ending="not_sent", first_ms=None),
                sent("a", "01.500"),
                ended("a", "01.9", first_ms=600),
            ],
            LossReason.EARLIER_ATTEMPTS,
        ),
        (
            [sent("a", "01.0", wait_ms=500), ended("a", "01.9", first_ms=600)],
            LossReason.REPLICA_QUEUE,
        ),
        ([sent("a", "01.0"), ended("a", "01.9", first_ms=600)], LossReason.PROMPT_READ),
        (
            [sent("a", "01.0"), ended("a", "01.9", ending="given_up")],
            LossReason.CALLER_LEFT,
        ),
        (
            [sent("a", "01.0"), ended("a", "01.9", ending="lost")],
            LossReason.REPLICA_LOST,
        ),
        ([sent("a", "01.0")], LossReason.END_MISSING),
        ([f"{T}01Z event=refused call=a kind=overloaded"], LossReason.REFUSED),
    ],
)
def test_reason_is_what_took_most_of_the_time(
    lines: list[str], reason: LossReason
) -> None:
    report = analyze(*lines)
    assert report.reasons == {reason.value: 1}
    assert report.calls - report.in_time == 1


def test_windows_and_routes_count_the_same_calls() -> None:
    report = analyze(
        sent("a", "01.0"),
        ended("a", "01.9", first_ms=600),
        sent("b", "03.5"),
        ended("b", "03.9"),
        sent("c", "03.6"),
        ended("c", "03.9", ending="lost", route="s"),
    )
    assert report.windows == {0: (1, 1), 2: (2, 1)}
    assert report.routes == {"r": 1, "s": 1}


def test_command_prints_tables_and_json(tmp_path: Path) -> None:
    file = tmp_path / "log"
    file.write_text("\n".join((sent("a", "01.0"), ended("a", "01.1", first_ms=900))))
    result = CliRunner().invoke(main, ["losses", str(file)])
    assert result.exit_code == 0, result.output
    assert "1 calls, 0 of them in time" in result.stdout
    result = CliRunner().invoke(main, ["losses", "--json", str(file)])
    assert msgspec.json.decode(result.stdout)["in_time"] == 0


@pytest.mark.parametrize(
    "text",
    ["", "no log at all", f"{T}01Z event=sent call=a queued_ms=soon", "event=sent"],
)
def test_what_is_no_log_is_refused_with_its_name(tmp_path: Path, text: str) -> None:
    file = tmp_path / "strange"
    file.write_text(text)
    result = CliRunner().invoke(main, ["losses", str(file)])
    assert result.exit_code == ExitCode.USAGE
    assert result.stdout == ""
    assert "strange" in result.stderr
    result = CliRunner().invoke(main, ["losses", str(tmp_path / "none")])
    assert result.exit_code == ExitCode.USAGE
