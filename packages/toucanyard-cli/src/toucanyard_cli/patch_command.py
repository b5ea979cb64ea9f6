"""Submit a patch, or resubmit one whose outcome is unknown."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Final

import click
import msgspec

from toucanyard_cli.access import (
    NoResponseError,
    access_options,
    check_response,
    load_access,
    send_request,
)
from toucanyard_cli.check_command import read_patch_file
from toucanyard_cli.exit_codes import ExitCode, get_exit_code
from toucanyard_cli.failures import CommandError
from toucanyard_node.http_client import Response
from toucanyard_node.operator_messages import PatchBody, PatchReply

_ID_BYTES: Final = 8


@click.command()
@click.option("--base", type=click.IntRange(min=0), required=True, help="Version N.")
@click.option(
    "--patch-id",
    default="",
    help="Id of a patch whose outcome is unknown; it can't be applied twice.",
)
@click.argument("file", type=click.Path(path_type=Path))
@access_options
def patch(
    base: int,
    patch_id: str,
    file: Path,
    nodes: tuple[str, ...],
    key_file: Path | None,
    is_json: bool,
) -> None:
    """Bring the patch in FILE into force on version N of the configuration.

    FILE holds {"put": {..}, "remove": {..}}. Exit status: 0 in force, 3 another patch
    won on this base, 4 invalid, 5 outcome unknown, 6 no node reached.
    """
    access = load_access(nodes, key_file)
    content = read_patch_file(file)
    # Printed before the request is sent, so that the patch can be resubmitted with the
    # same id however this command ends.
    submitted_id = patch_id or secrets.token_hex(_ID_BYTES)
    click.echo(f"patch id {submitted_id}", err=True)
    body = PatchBody(submitted_id, base, content.put, content.remove)
    try:
        response = send_request(access, "POST", "/patches", msgspec.json.encode(body))
    except NoResponseError as error:
        raise _build_no_response_error(error, submitted_id) from error
    reply = _decode_reply(response, submitted_id)
    if reply.error is not None:
        code = get_exit_code(reply.error, response.status)
        raise CommandError(code, _describe_reply(reply, base), reply.error)
    if is_json:
        click.echo(response.body)
    else:
        click.echo(f"version {reply.version} is in force")


def _build_no_response_error(error: NoResponseError, patch_id: str) -> CommandError:
    if not error.is_sent:
        return CommandError(ExitCode.NOT_REACHABLE, str(error))
    text = f"{error}; submit again with --patch-id {patch_id}"
    return CommandError(ExitCode.OUTCOME_UNKNOWN, text)


def _decode_reply(response: Response, patch_id: str) -> PatchReply:
    try:
        return msgspec.json.decode(response.body, type=PatchReply)
    except (msgspec.DecodeError, RecursionError) as error:
        check_response(response)
        text = f"the answer can't be read; submit again with --patch-id {patch_id}"
        raise CommandError(ExitCode.OUTCOME_UNKNOWN, text) from error


def _describe_reply(reply: PatchReply, base: int) -> str:
    match reply.error:
        case "patch_conflict":
            return f"version {reply.version} is in force, not {base}: {reply.text}"
        case "outcome_unknown":
            return f"{reply.text}; submit again with --patch-id {reply.patch_id}"
        case _:
            return reply.text
