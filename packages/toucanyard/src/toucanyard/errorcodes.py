"""The closed set of error kinds and the HTTP response of each kind.

Every refusal and failure that a caller, an operator or a peer can see has one of these
kinds. The table maps it to its HTTP status and to the ending that it proves: not run,
answered, or outcome unknown.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec


class Ending(enum.StrEnum):
    """What is known about whether a request that has ended was executed."""

    NOT_RUN = "not_run"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Every kind of error that leaves the system."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_SLOW = "headers_too_slow"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    TOO_MANY_CALLS = "too_many_calls"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_SEALED = "key_sealed"
    CUSTOMER_LIMIT = "customer_limit"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CALLER_GONE = "caller_gone"
    NO_ENDPOINT = "no_endpoint"
    REQUEST_QUARANTINED = "request_quarantined"
    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    LOG_UNAVAILABLE = "log_unavailable"
    DRAINING = "draining"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_LOST = "endpoint_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_INCOMPLETE = "stream_incomplete"
    STREAM_GONE = "stream_gone"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    PATCH_CONFLICT = "patch_conflict"
    PATCH_INVALID = "patch_invalid"
    VERSION_MISMATCH = "version_mismatch"
    INTERNAL = "internal"


class Answer(msgspec.Struct, frozen=True):
    """The response to one kind; `ending` is None if it depends on the request."""

    status: int
    ending: Ending | None
    is_retryable: bool


_NOT_RUN: Final = Ending.NOT_RUN
_UNKNOWN: Final = Ending.UNKNOWN

ANSWERS: Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, False),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, False),
    ErrorKind.HEADERS_TOO_SLOW: Answer(408, _NOT_RUN, True),
    ErrorKind.TOO_MANY_CONNECTIONS: Answer(503, _NOT_RUN, True),
    ErrorKind.TOO_MANY_CALLS: Answer(503, _NOT_RUN, True),
    ErrorKind.UNAUTHENTICATED: Answer(401, _NOT_RUN, False),
    ErrorKind.FORBIDDEN: Answer(403, _NOT_RUN, False),
    ErrorKind.NOT_FOUND: Answer(404, _NOT_RUN, False),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _NOT_RUN, False),
    ErrorKind.KEY_REUSED: Answer(422, _NOT_RUN, False),
    ErrorKind.KEY_EXPIRED: Answer(409, _UNKNOWN, False),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, _UNKNOWN, True),
    ErrorKind.KEY_SEALED: Answer(409, _NOT_RUN, False),
    ErrorKind.CUSTOMER_LIMIT: Answer(429, _NOT_RUN, True),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, True),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, _NOT_RUN, True),
    ErrorKind.CALLER_GONE: Answer(499, _UNKNOWN, False),
    ErrorKind.NO_ENDPOINT: Answer(503, _NOT_RUN, True),
    ErrorKind.REQUEST_QUARANTINED: Answer(503, _NOT_RUN, True),
    ErrorKind.NO_CONFIGURATION: Answer(503, _NOT_RUN, True),
    ErrorKind.STALE_CONFIGURATION: Answer(503, _NOT_RUN, True),
    ErrorKind.LOG_UNAVAILABLE: Answer(503, _NOT_RUN, True),
    ErrorKind.DRAINING: Answer(503, _NOT_RUN, True),
    ErrorKind.ENDPOINT_FAILED: Answer(502, _UNKNOWN, True),
    ErrorKind.ENDPOINT_LOST: Answer(502, _UNKNOWN, True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN, False),
    ErrorKind.STREAM_INCOMPLETE: Answer(502, _UNKNOWN, False),
    ErrorKind.STREAM_GONE: Answer(410, _UNKNOWN, False),
    ErrorKind.STREAM_NOT_RESUMABLE: Answer(503, _NOT_RUN, True),
    ErrorKind.PATCH_CONFLICT: Answer(409, _NOT_RUN, False),
    ErrorKind.PATCH_INVALID: Answer(422, _NOT_RUN, False),
    ErrorKind.VERSION_MISMATCH: Answer(400, _NOT_RUN, False),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False),
}


class RouterError(Exception):
    """Error with its kind, message and retry delay."""

    def __init__(
        self, kind: ErrorKind, text: str, retry_after_ms: int | None = None
    ) -> None:
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.retry_after_ms = retry_after_ms
