"""Define the exit statuses and map error kinds to them."""

from __future__ import annotations

import enum
from typing import Final

from toucanyard.errorcodes import ErrorKind


class ExitCode(enum.IntEnum):
    """The exit status of a command."""

    OK = 0
    FAILED = 1
    """The node failed, or its response can't be decoded."""
    USAGE = 2
    """Settings, a file, an option or the key is invalid; nothing was sent."""
    CONFLICT = 3
    """Another patch on the same base was applied first; its version is reported."""
    INVALID = 4
    """The patch is invalid and can't be applied."""
    OUTCOME_UNKNOWN = 5
    """The patch may be in force; resubmit it with the same id."""
    NOT_REACHABLE = 6
    """No node responded, and nothing was changed."""
    NOT_ALLOWED = 7
    """The key is unknown or lacks the permission."""
    NOT_FOUND = 8
    """The version, decision or path does not exist."""
    UNAVAILABLE = 9
    """The node can't serve the request at present; nothing was changed."""


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
    """Return the exit status for a failed request."""
    if status == _UNAVAILABLE:
        return ExitCode.UNAVAILABLE
    return _BY_KIND.get(kind, ExitCode.FAILED) if kind else ExitCode.FAILED
