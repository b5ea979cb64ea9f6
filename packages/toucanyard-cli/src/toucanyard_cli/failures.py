"""Report the failure of a command as one line of text or one JSON object."""

from __future__ import annotations

import click
import msgspec

from toucanyard_cli.exit_codes import ExitCode


class Failure(msgspec.Struct, frozen=True):
    """The output of a failed command with `--json`."""

    exit_code: ExitCode
    error: str
    text: str


class CommandError(Exception):
    """A failure that the command group prints before it exits.

    Whether `--json` was given is read at construction, since the click context of the
    command is already closed when the failure is printed.
    """

    def __init__(self, code: ExitCode, text: str, error: str = "") -> None:
        super().__init__(text)
        self.failure = Failure(code, error or code.name.lower(), text)
        context = click.get_current_context(silent=True)
        self._is_json = context is not None and bool(context.params.get("is_json"))

    def show(self) -> None:
        """Print the failure, as JSON on standard output if `--json` was given."""
        if self._is_json:
            click.echo(msgspec.json.encode(self.failure))
        else:
            click.echo(f"{self.failure.error}: {self.failure.text}", err=True)


class CommandGroup(click.Group):
    """A command group that turns a CommandError into output and exit status."""

    def invoke(self, ctx: click.Context) -> object:
        """Run a command and report its CommandError, if any."""
        try:
            return super().invoke(ctx)
        except CommandError as error:
            error.show()
            ctx.exit(error.failure.exit_code)
