"""Send requests to nodes; define the options shared by commands that do so."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, TypeVar

import click
import h11
import msgspec
import trio

from toucanyard.errorcodes import ErrorKind
from toucanyard.names import Address
from toucanyard_cli.exit_codes import ExitCode, get_exit_code
from toucanyard_cli.failures import CommandError
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    Response,
    fetch,
)

F = TypeVar("F", bound=Callable[..., Any])
T = TypeVar("T")

_TIMEOUT_MS: Final = 15_000
MAX_ANSWER_BYTES: Final = 32_000_000
"""Size of one answer; the largest one, a configuration, has 4 MB before encoding."""
"""Longer than the time for which a node waits for the log to decide a patch."""
_ADDRESS: Final = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}")
_KEY: Final = re.compile(r"[!-~]+")
_UNAVAILABLE: Final = 503


class Access(msgspec.Struct, frozen=True):
    """The addresses of the nodes to send requests to, and the API key to use."""

    nodes: tuple[Address, ...]
    key: str


class _RefusalDetail(msgspec.Struct, frozen=True):
    code: str = ""
    message: str = ""


class _RefusalBody(msgspec.Struct, frozen=True):
    error: _RefusalDetail = _RefusalDetail()


class NoResponseError(Exception):
    """No node responded; `is_sent` is true if one may have processed the request."""

    def __init__(self, text: str, is_sent: bool) -> None:
        super().__init__(text)
        self.is_sent = is_sent


def json_option(command: F) -> F:
    """Add the option `--json` to a command."""
    return click.option(
        "--json", "is_json", is_flag=True, help="Print JSON, one document."
    )(command)


def access_options(command: F) -> F:
    """Add the options for node addresses and the key file, and `--json`."""
    command = click.option(
        "--key-file",
        type=click.Path(path_type=Path),
        help="File that holds the API key; else TOUCANYARD_KEY.",
    )(command)
    command = click.option(
        "--node",
        "nodes",
        multiple=True,
        envvar="TOUCANYARD_NODE",
        metavar="IP:PORT",
        help="Node to ask; several are tried in turn. Else TOUCANYARD_NODE.",
    )(command)
    return json_option(command)


def load_access(nodes: tuple[str, ...], key_file: Path | None) -> Access:
    """Validate the options and load the key, or raise CommandError with status 2."""
    if not nodes:
        raise CommandError(
            ExitCode.USAGE, "found no node; give --node IP:PORT or TOUCANYARD_NODE"
        )
    for node in nodes:
        if not _ADDRESS.fullmatch(node):
            raise CommandError(
                ExitCode.USAGE, f"found node {node!r}, expected IP number and port"
            )
    return Access(tuple(Address(node) for node in nodes), _read_key(key_file))


def _read_key(key_file: Path | None) -> str:
    """Read the key from a file or the environment.

    It is never a command line argument, which every user of the machine can see.
    """
    if key_file is None:
        key = os.environ.get("TOUCANYARD_KEY", "").strip()
    else:
        try:
            key = key_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise CommandError(ExitCode.USAGE, f"{key_file}: {error}") from error
    if not key:
        raise CommandError(
            ExitCode.USAGE, "found no key; set TOUCANYARD_KEY or give --key-file"
        )
    if not _KEY.fullmatch(key):
        raise CommandError(
            ExitCode.USAGE, "found a key with blanks or other than ASCII characters"
        )
    return key


def send_request(
    access: Access, method: str, target: str, body: bytes = b""
) -> Response:
    """Try the nodes in order; return the first response other than "unavailable".

    A request that a node may have processed is sent to the next node as well: queries
    change nothing, and a patch is deduplicated by its id. Raise NoResponseError if no
    node responded, or if the only responses were "unavailable" and another node may
    have processed the request.
    """
    return trio.run(_send_to_nodes, access, method, target, body)


async def _send_to_nodes(
    access: Access, method: str, target: str, body: bytes
) -> Response:
    headers: Headers = (("Authorization", f"Bearer {access.key}"),)
    unavailable: Response | None = None
    failures: list[str] = []
    is_sent = False
    for node in access.nodes:
        try:
            response = await fetch(
                node, method, target, headers, body, _TIMEOUT_MS, MAX_ANSWER_BYTES
            )
        except (ConnectionFailedError, h11.ProtocolError) as error:
            is_sent = is_sent or getattr(error, "is_sent", True)
            failures.append(f"{node}: {str(error).removeprefix(f'{node}: ')}")
            continue
        if response.status != _UNAVAILABLE:
            return response
        unavailable = response
    if unavailable is None or is_sent:
        raise NoResponseError("; ".join(failures), is_sent)
    return unavailable


def query(access: Access, target: str, kind: type[T]) -> tuple[bytes, T]:
    """Send a GET request; return the raw and decoded body, or raise CommandError."""
    try:
        response = send_request(access, "GET", target)
    except NoResponseError as error:
        raise CommandError(ExitCode.NOT_REACHABLE, str(error)) from error
    check_response(response)
    try:
        return response.body, msgspec.json.decode(response.body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        text = f"the answer can't be read: {error}"
        raise CommandError(ExitCode.FAILED, text) from error


def check_response(response: Response) -> None:
    """Raise CommandError if a response is an error."""
    if response.status < 300:
        return
    try:
        refusal = msgspec.json.decode(response.body, type=_RefusalBody).error
    except (msgspec.DecodeError, RecursionError):
        refusal = _RefusalDetail()
    known = {kind.value: kind for kind in ErrorKind}
    code = get_exit_code(known.get(refusal.code), response.status)
    text = refusal.message or f"status {response.status}"
    raise CommandError(code, text, refusal.code)
