"""Compose the reply to an attempt of a key: a cached answer or a refusal."""

from __future__ import annotations

import random
from typing import Final

from toucanyard.claim_events import (
    KeyedRequestArrived,
    RefuseKeyedRequest,
    ReplayAnswer,
)
from toucanyard.errorcodes import ANSWERS, Ending, ErrorKind
from toucanyard.key_messages import (
    KeyStatus,
)
from toucanyard.requests import CachedAnswer

_RETRY_AFTER_MS: Final = 500

_TEXTS: Final = {
    ErrorKind.BAD_REQUEST: "the key is too long",
    ErrorKind.KEY_EXPIRED: "the key is older than the time that keys are remembered",
    ErrorKind.KEY_IN_PROGRESS: "the key's request has not ended yet",
    ErrorKind.KEY_REUSED: "the key was used before with another body",
    ErrorKind.KEY_SEALED: "the key's request did not run and never will; use a new key",
    ErrorKind.OUTCOME_UNKNOWN: "nobody can tell any more whether the request ran",
    ErrorKind.LOG_UNAVAILABLE: "keys chosen by callers can't be claimed at present",
    ErrorKind.OVERLOADED: "no room to remember another key",
    ErrorKind.DEADLINE_EXCEEDED: "the deadline passed before the request could run",
    ErrorKind.CALLER_GONE: "the caller went away",
    ErrorKind.DRAINING: "this node stops as planned; ask locate for another",
}


def compute_unclaimed_ending(key_age_ms: float | None) -> Ending:
    """Return the ending to report for a key of which other attempts may exist.

    NOT_RUN is safe only if the caller declared that this is the first attempt: an
    earlier one may have been claimed by another node.
    """
    return Ending.NOT_RUN if key_age_ms == 0 else Ending.UNKNOWN


def refuse(
    event: KeyedRequestArrived, kind: ErrorKind, rng: random.Random
) -> RefuseKeyedRequest:
    """Refuse with the ending that `ANSWERS` defines for the kind."""
    ending = ANSWERS[kind].ending
    return _compose(event, kind, Ending.UNKNOWN if ending is None else ending, rng)


def refuse_unclaimed(
    event: KeyedRequestArrived, kind: ErrorKind, rng: random.Random
) -> RefuseKeyedRequest:
    """Refuse an attempt that this node will never dispatch, of a key it doesn't own.

    The kind's own ending applies to one attempt; the ending of a keyed refusal
    applies to the key.
    """
    return _compose(event, kind, compute_unclaimed_ending(event.key_age_ms), rng)


def compose_status_reply(
    event: KeyedRequestArrived,
    status: KeyStatus,
    digest: bytes,
    answer: CachedAnswer | None,
    rng: random.Random,
) -> RefuseKeyedRequest | ReplayAnswer:
    """Compose the reply for a key's status; an empty digest means no known body."""
    if digest and digest != event.body_digest:
        return refuse(event, ErrorKind.KEY_REUSED, rng)
    match status:
        case KeyStatus.ANSWERED if answer is not None:
            return ReplayAnswer(event.request_id, answer)
        case KeyStatus.NOT_RUN:
            return refuse(event, ErrorKind.KEY_SEALED, rng)
        case KeyStatus.RUNNING:
            return refuse(event, ErrorKind.KEY_IN_PROGRESS, rng)
        case _:
            return refuse(event, ErrorKind.OUTCOME_UNKNOWN, rng)


def _compose(
    event: KeyedRequestArrived, kind: ErrorKind, ending: Ending, rng: random.Random
) -> RefuseKeyedRequest:
    # Jitter, so that callers that were refused together don't retry together.
    retry_after_ms = int(_RETRY_AFTER_MS * (1 + rng.random()))
    text = _TEXTS[kind]
    return RefuseKeyedRequest(event.request_id, kind, ending, text, retry_after_ms)
