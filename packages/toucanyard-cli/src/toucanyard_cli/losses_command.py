"""Show which calls were lost or late, when and why, from nodes' logs."""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from toucanyard_cli.access import json_option
from toucanyard_cli.exit_codes import ExitCode
from toucanyard_cli.failures import CommandError
from toucanyard_cli.loss_report import (
    CallTrace,
    InvalidLogError,
    LossReport,
    build_report,
    parse_calls,
)
from toucanyard_cli.tables import render_table


@click.command()
@click.option(
    "--window",
    "window_s",
    default=2,
    show_default=True,
    type=click.IntRange(min=1),
    help="Seconds of one window.",
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@json_option
def losses(files: tuple[Path, ...], window_s: int, is_json: bool) -> None:
    """Count lost and late calls in nodes' logs, by reason, route and window."""
    calls: dict[str, CallTrace] = {}
    for file in files:
        calls |= _read_file(file)
    report = build_report(calls, window_s)
    if is_json:
        click.echo(msgspec.json.encode(report))
    else:
        click.echo(render_report(report))


def render_report(report: LossReport) -> str:
    """Render a report as tables."""
    tables = [
        f"{report.calls} calls, {report.in_time} of them in time",
        render_table(("lost or late by", "calls"), list(report.reasons.items())),
        render_table(("route", "lost or late"), list(report.routes.items())),
        render_table(
            ("from second", "calls", "lost or late"),
            [(at_s, *counts) for at_s, counts in report.windows.items()],
        ),
    ]
    return "\n\n".join(tables)


def _read_file(file: Path) -> dict[str, CallTrace]:
    try:
        with file.open(encoding="utf-8", errors="replace") as lines:
            return parse_calls(lines)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{file}: {error.strerror}") from error
    except InvalidLogError as error:
        raise CommandError(ExitCode.USAGE, f"{file}: {error}") from error
