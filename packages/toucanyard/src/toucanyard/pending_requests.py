"""Hold what is known of one request until it is over."""

from __future__ import annotations

import enum

import msgspec

from toucanyard.claim_events import KeyedRequestArrived
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import EndpointName
from toucanyard.placement import Placed
from toucanyard.requests import Repeatability, Request


class Phase(enum.Enum):
    """Whether a request's dispatch is decided."""

    WAITING = enum.auto()
    """Queued, or its key is undecided; a Reply is owed."""
    RUNNING = enum.auto()


class PendingRequest(msgspec.Struct):
    """A request that is not over."""

    request: Request
    phase: Phase = Phase.WAITING
    attempt: int = 0
    priority: int = 0
    is_key_allowed: bool = False
    may_have_run: bool = False
    """Never goes back to false: a later refusal must not say "not run"."""
    placed: Placed | None = None
    sent_ms: float = 0.0
    weights_version: str | None = None
    """Fixed once an answer has begun: it never goes on under other weights."""
    tried: tuple[EndpointName, ...] = ()


def find_unknown_kind(request: Request) -> ErrorKind:
    """Return how a request is refused that may have run."""
    if request.repeatability is Repeatability.REPEATABLE:
        return ErrorKind.ENDPOINT_LOST
    return ErrorKind.OUTCOME_UNKNOWN


def build_key_event(request: Request) -> KeyedRequestArrived | None:
    """Return the event for the decision on a key; None without one."""
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
