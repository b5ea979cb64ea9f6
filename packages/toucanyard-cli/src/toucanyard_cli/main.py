"""Define the program `toucanyard` and its commands."""

from __future__ import annotations

import click

from toucanyard import VERSION
from toucanyard_cli.check_command import check
from toucanyard_cli.failures import CommandGroup
from toucanyard_cli.limits_command import limits
from toucanyard_cli.losses_command import losses
from toucanyard_cli.patch_command import patch
from toucanyard_cli.query_commands import drain, explain, locate, stats, status
from toucanyard_cli.version_commands import diff, history, show


@click.group(cls=CommandGroup)
@click.version_option(VERSION, prog_name="toucanyard")
def main() -> None:
    """Check files, change the configuration, and ask nodes about it.

    Exit status: 0 done, 1 failed, 2 wrong file or usage, 3 conflict, 4 invalid,
    5 outcome unknown, 6 no node reached, 7 key not accepted, 8 not found,
    9 unavailable for now.
    """


for _command in (
    check,
    patch,
    show,
    history,
    diff,
    explain,
    status,
    stats,
    drain,
    locate,
    limits,
    losses,
):
    main.add_command(_command)
