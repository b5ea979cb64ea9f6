"""Hold the state of an unfinished request."""

from __future__ import annotations

import enum

import msgspec

from toucanyard.claim_events import KeyedRequestArrived
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import EndpointName
from toucanyard.placement import Placed
from toucanyard.requests import Repeatability, Request


class Phase(enum.Enum):
    """Whether a request has been dispatched."""

    WAITING = enum.auto()
    """Queued, or its key is undecided; a Reply is pending."""
    RUNNING = enum.auto()


class PendingRequest(msgspec.Struct):
    """An unfinished request."""

    request: Request
    phase: Phase = Phase.WAITING
    attempt: int = 0
    priority: int = 0
    is_key_allowed: bool = False
    may_have_run: bool = False
    """Never reset to false: a later refusal must not report NOT_RUN."""
    placed: Placed | None = None
    sent_ms: float = 0.0
    weights_version: str | None = None
    """Fixed once an answer has begun: it never continues under other weights."""
    tried: tuple[EndpointName, ...] = ()


def find_unknown_kind(request: Request) -> ErrorKind:
    """Return the kind of refusal for a request that may have run."""
    if request.repeatability is Repeatability.REPEATABLE:
        return ErrorKind.ENDPOINT_LOST
    return ErrorKind.OUTCOME_UNKNOWN


def build_key_event(request: Request) -> KeyedRequestArrived | None:
    """Return the event for the at-most-once decision; None for an unkeyed request."""
    if request.repeatability is not Repeatability.KEYED:
        return None
    return KeyedRequestArrived(
        request.request_id,
        request.customer,
        request.key,
        request.body_digest,
        request.deadline_ms,
        request.key_age_ms,
    )
