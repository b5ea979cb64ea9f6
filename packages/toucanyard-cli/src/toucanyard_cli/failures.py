"""End a command with one line, or one JSON object, that says what went wrong."""

from __future__ import annotations

import click
import msgspec

from toucanyard_cli.exit_codes import ExitCode


class Failure(msgspec.Struct, frozen=True):
    """What `--json` prints when a command fails."""

    exit_code: ExitCode
    error: str
    text: str


class CommandError(Exception):
    """Carry one failure to the group of commands, which prints it and exits.

    Whether JSON was asked for is read here, since the command's context is closed by
    the time the failure is printed.
    """

    def __init__(self, code: ExitCode, text: str, error: str = "") -> None:
        super().__init__(text)
        self.failure = Failure(code, error or code.name.lower(), text)
        context = click.get_current_context(silent=True)
        self._is_json = context is not None and bool(context.params.get("is_json"))

    def show(self) -> None:
        """Print the failure: as JSON on standard output where that was asked for."""
        if self._is_json:
            click.echo(msgspec.json.encode(self.failure))
        else:
            click.echo(f"{self.failure.error}: {self.failure.text}", err=True)


class CommandGroup(click.Group):
    """Turn failures of its commands into text and exit status."""

    def invoke(self, ctx: click.Context) -> object:
        """Run one command."""
        try:
            return super().invoke(ctx)
        except CommandError as error:
            error.show()
            ctx.exit(error.failure.exit_code)
