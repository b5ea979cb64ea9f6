"""Read settings and patches as JSON with comments, with strict decoding.

An error names the file, the path of the field, the value found and what is expected.
"""

from __future__ import annotations

import ipaddress
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Final, NoReturn, TypeVar

import jsonc
import msgspec

from toucanyard.names import Address
from toucanyard.options import Options
from toucanyard.settings_errors import describe_invalid

T = TypeVar("T")

_MAX_PORT: Final = 65_535
_STRING_OR_COMMENT: Final = re.compile(
    r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)
_NO_BREAK: Final = re.compile(r"[^\n]")


class SettingsError(Exception):
    """An invalid file; names the field, and the command line exits with status 2."""


class _RejectedJsonError(Exception):
    """JSON that the library accepts although its meaning is ambiguous."""


def load_document(file: Path, kind: type[T]) -> T:
    """Decode one file of JSON with comments into a class, or raise SettingsError."""
    document = _read_json(file)
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{file}: {describe_invalid(error, document)}") from error


def load_options(file: Path) -> Options:
    """Read and check the settings of one node."""
    options = load_document(file, Options)
    check_ranges(file, options)
    return options


def check_ranges(file: Path, options: Options) -> None:
    """Reject settings that are individually valid but contradict each other."""
    callers = options.callers
    if callers.default_deadline_ms > callers.max_deadline_ms:
        raise SettingsError(
            f"{file}: found default_deadline_ms {callers.default_deadline_ms}, expected"
            f" at most max_deadline_ms {callers.max_deadline_ms}"
            " - at `$.callers.default_deadline_ms`"
        )
    window_ms = options.claims.window_ms
    # The window starts at a key's first attempt. If the key expired while a request
    # under it was still waiting, a retry would run a second time.
    if callers.max_deadline_ms * 2 > window_ms:
        raise SettingsError(
            f"{file}: found max_deadline_ms {callers.max_deadline_ms}, expected"
            f" at most half of claims.window_ms {window_ms}"
            " - at `$.callers.max_deadline_ms`"
        )
    streams = options.streams
    if streams.min_silence_ms > streams.max_silence_ms:
        raise SettingsError(
            f"{file}: found min_silence_ms {streams.min_silence_ms}, expected at most"
            f" max_silence_ms {streams.max_silence_ms} - at `$.streams.min_silence_ms`"
        )
    for path, address in _list_addresses(options):
        if not _is_valid_address(address):
            raise SettingsError(
                f"{file}: found {json.dumps(address)}, expected an IP number and a port"
                f" up to {_MAX_PORT} - at `{path}`"
            )


def _read_json(file: Path) -> object:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else str(error)
        raise SettingsError(
            f"{file}: can't be read: found {reason}, expected a file of JSON"
            " with comments in UTF-8"
        ) from error
    try:
        return jsonc.loads(
            _replace_comments(text),
            object_pairs_hook=_build_object,
            parse_constant=_reject_constant,
        )
    except json.JSONDecodeError as error:
        where = f"line {error.lineno} column {error.colno}"
        found = error.doc[error.pos : error.pos + 20].split("\n")[0] or "the end"
        raise SettingsError(f"{file}: {where}: found {found!r}: {error.msg}") from error
    except RecursionError as error:
        raise SettingsError(f"{file}: found JSON nested too deeply") from error
    except _RejectedJsonError as error:
        raise SettingsError(f"{file}: {error}") from error


def _replace_comments(text: str) -> str:
    """Replace comments with blanks.

    The library removes them with their line ends, so the line numbers in its errors
    would not match the file.
    """
    return _STRING_OR_COMMENT.sub(
        lambda match: match[0] if match[0][0] == '"' else _NO_BREAK.sub(" ", match[0]),
        text,
    )


def _build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return an object; reject duplicate fields.

    The library keeps the last one, so an operator who edits the first would see neither
    an effect nor an error.
    """
    fields = dict(pairs)
    if len(fields) == len(pairs):
        return fields
    names = [name for name, _ in pairs]
    twice = next(name for name in names if names.count(name) > 1)
    raise _RejectedJsonError(f"found field {twice!r} twice, expected it once")


def _reject_constant(text: str) -> NoReturn:
    raise _RejectedJsonError(f"found {text}, expected a number")


def _list_addresses(options: Options) -> Iterator[tuple[str, Address]]:
    listen = options.listen
    yield "$.listen.callers", listen.callers
    yield "$.listen.operators", listen.operators
    yield "$.listen.peers", listen.peers
    yield "$.platform.log", options.platform.log
    yield "$.platform.vm_list", options.platform.vm_list
    if options.statsd is not None:
        yield "$.statsd.address", options.statsd.address


def _is_valid_address(address: Address) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return int(port) <= _MAX_PORT
