"""Render refusals: the body that callers and operators read, and its headers."""

from __future__ import annotations

import math

import msgspec

from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind
from toucanyard.requests import Refuse


class ErrorBody(msgspec.Struct, frozen=True):
    """The `error` object of a refusal, in the shape that OpenAI clients read."""

    code: ErrorKind
    message: str
    ending: Ending
    not_run: bool
    retry_after_ms: int | None
    request_id: str
    type: str = "router_error"


class RefusalBody(msgspec.Struct, frozen=True):
    """The whole body of a refusal."""

    error: ErrorBody


class RenderedRefusal(msgspec.Struct, frozen=True):
    """A refusal ready to be sent."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def render_refusal(refusal: Refuse, *, is_exact: bool = False) -> RenderedRefusal:
    """Build status, headers and body of one refusal.

    `is_exact` names the time to come back in fractions of a second, for callers known
    to read them; the standard has whole seconds.
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
    # The OpenAI client repeats errors of the server and conflicts by itself unless this
    # header says no: what may run once would run again without its caller's knowing.
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
