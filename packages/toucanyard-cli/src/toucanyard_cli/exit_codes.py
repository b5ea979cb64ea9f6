"""The closed list of exit statuses and the table from error kind to status."""

from __future__ import annotations

import enum
from typing import Final

from toucanyard.errorcodes import ErrorKind


class ExitCode(enum.IntEnum):
    """What the exit status of a command says."""

    OK = 0
    FAILED = 1
    """The node failed, or its answer can't be read."""
    USAGE = 2
    """Settings, file, option or key can't be used; nothing was sent."""
    CONFLICT = 3
    """Another patch won on this base; its version is named."""
    INVALID = 4
    """The patch can't be applied."""
    OUTCOME_UNKNOWN = 5
    """The patch may be in force; submit it again with the same id."""
    NOT_REACHABLE = 6
    """No node answered, and nothing was done."""
    NOT_ALLOWED = 7
    """The key is unknown, or may not do this."""
    NOT_FOUND = 8
    """No such version, decision or path."""
    UNAVAILABLE = 9
    """The node can't do this now; nothing was done."""


_BY_KIND: Final[dict[ErrorKind, ExitCode]] = {
    ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    ErrorKind.BODY_TOO_LARGE: ExitCode.USAGE,
    ErrorKind.PATCH_CONFLICT: ExitCode.CONFLICT,
    ErrorKind.PATCH_INVALID: ExitCode.INVALID,
    ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.ENDPOINT_FAILED: ExitCode.NOT_REACHABLE,
    ErrorKind.UNAUTHENTICATED: ExitCode.NOT_ALLOWED,
    ErrorKind.FORBIDDEN: ExitCode.NOT_ALLOWED,
    ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
}
_UNAVAILABLE: Final = 503


def get_exit_code(kind: ErrorKind | None, status: int) -> ExitCode:
    """Return the exit status for an answer that is no success."""
    if status == _UNAVAILABLE:
        return ExitCode.UNAVAILABLE
    return _BY_KIND.get(kind, ExitCode.FAILED) if kind else ExitCode.FAILED
