"""Render refusals as HTTP responses for callers and operators."""

from __future__ import annotations

import math

import msgspec

from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind
from toucanyard.requests import Refuse


class ErrorBody(msgspec.Struct, frozen=True):
    """The `error` object of a refusal, in the format of the OpenAI API."""

    code: ErrorKind
    message: str
    ending: Ending
    not_run: bool
    retry_after_ms: int | None
    request_id: str
    type: str = "router_error"


class RefusalBody(msgspec.Struct, frozen=True):
    """Response body of a refusal."""

    error: ErrorBody


class RenderedRefusal(msgspec.Struct, frozen=True):
    """Status, headers and body of a refusal."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def render_refusal(refusal: Refuse, *, is_exact: bool = False) -> RenderedRefusal:
    """Build status, headers and body of one refusal.

    With `is_exact`, Retry-After has fractions of a second, for callers known to parse
    them; the standard allows only whole seconds.
    """
    answer = ANSWERS[refusal.kind]
    retry_after_ms = refusal.retry_after_ms if answer.is_retryable else None
    body = RefusalBody(
        ErrorBody(
            code=refusal.kind,
            message=refusal.text,
            ending=refusal.ending,
            not_run=refusal.ending is Ending.NOT_RUN,
            retry_after_ms=retry_after_ms,
            request_id=refusal.request_id,
        )
    )
    # The OpenAI client retries server errors and conflicts by itself unless this header
    # forbids it: a request that may run once would run again without its caller
    # knowing.
    should_retry = "true" if answer.is_retryable else "false"
    headers = [
        ("Content-Type", "application/json"),
        ("X-Should-Retry", should_retry),
    ]
    if retry_after_ms is not None:
        seconds = retry_after_ms / 1000
        text = f"{seconds:.3f}" if is_exact else str(math.ceil(seconds))
        headers.append(("Retry-After", text))
    return RenderedRefusal(answer.status, tuple(headers), msgspec.json.encode(body))
