"""Read settings and patches: JSON with comments, decoded strictly.

An error names the file, the path of the field, what was found and what is expected.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import TypeVar

import jsonc
import msgspec

from toucanyard.options import Options

T = TypeVar("T")


class SettingsError(Exception):
    """Say which file and field is wrong; the command line exits with status 2."""


def load_document(file: Path, kind: type[T]) -> T:
    """Decode one file of JSON with comments into a class, or raise SettingsError."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{file}: can't be read: {error}") from error
    try:
        document = jsonc.loads(text)
    except json.JSONDecodeError as error:
        where = f"line {error.lineno} column {error.colno}"
        raise SettingsError(f"{file}: {where}: {error.msg}") from error
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{file}: {error}") from error


def load_options(file: Path) -> Options:
    """Read and check the settings of one node."""
    options = load_document(file, Options)
    check_ranges(file, options)
    return options


def check_ranges(file: Path, options: Options) -> None:
    """Refuse settings that are each valid but contradict one another."""
    claims = options.claims
    if claims.window_ms >= claims.log_retention_ms:
        raise SettingsError(
            f"{file}: found window_ms {claims.window_ms}, expected less than"
            f" log_retention_ms {claims.log_retention_ms} - at `$.claims.window_ms`"
        )
    callers = options.callers
    if callers.default_deadline_ms > callers.max_deadline_ms:
        raise SettingsError(
            f"{file}: found default_deadline_ms {callers.default_deadline_ms}, expected"
            f" at most max_deadline_ms {callers.max_deadline_ms}"
            " - at `$.callers.default_deadline_ms`"
        )
    streams = options.streams
    if streams.min_silence_ms > streams.max_silence_ms:
        raise SettingsError(
            f"{file}: found min_silence_ms {streams.min_silence_ms}, expected at most"
            f" max_silence_ms {streams.max_silence_ms} - at `$.streams.min_silence_ms`"
        )
