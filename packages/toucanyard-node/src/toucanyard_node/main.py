"""Command line entry point: read the settings and run one node until stopped."""

from __future__ import annotations

import gc
import sys
from pathlib import Path

import click
import trio

from toucanyard import VERSION
from toucanyard.settings import SettingsError, load_options
from toucanyard_node.boot_clock import BootClock
from toucanyard_node.logs import configure_logs
from toucanyard_node.node import run_node

_EXIT_BAD_SETTINGS = 2


@click.command()
@click.version_option(VERSION, prog_name="toucanyard-node")
@click.option(
    "--log-level",
    type=click.Choice(["debug", "info", "warning", "error"]),
    default="info",
    show_default=True,
)
@click.argument("settings_file", type=click.Path(path_type=Path))
def main(settings_file: Path, log_level: str) -> None:
    """Route requests on this VM as SETTINGS_FILE says.

    SIGTERM starts a graceful shutdown; a second one ends the process immediately.
    """
    try:
        options = load_options(settings_file)
    except SettingsError as error:
        click.echo(error, err=True)
        sys.exit(_EXIT_BAD_SETTINGS)
    configure_logs(options.name, log_level)
    # A full garbage collection pauses every stream. The objects loaded so far live as
    # long as the process, so freezing them removes them from all later collections.
    gc.freeze()
    trio.run(run_node, options, clock=BootClock())
