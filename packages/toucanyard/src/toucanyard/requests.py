"""Define requests as the core sees them, their verdicts and their outcomes."""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from toucanyard.configuration import PriorityClass
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import (
    Address,
    CustomerName,
    EndpointName,
    Incarnation,
    PoolName,
    RequestId,
    ServiceName,
)
from toucanyard.prefix import ChainSource, sample_chain


class Repeatability(enum.StrEnum):
    """Whether a request may be executed more than once."""

    REPEATABLE = "repeatable"
    RUN_ONCE = "run_once"
    """At most once, without a key: one dispatch and no retry."""
    KEYED = "keyed"
    """At most once over all attempts with the same key."""


class ModelTarget(msgspec.Struct, frozen=True):
    """A request for a model, with the identification of its cacheable prompt."""

    pool: PoolName
    model: str
    adapter: str
    weights_version: str
    chain: tuple[int, ...]
    prompt_bytes: int
    max_tokens: int
    affinity_keys: tuple[int, ...] = ()
    """Affinity keys: they determine the prompt's preferred endpoints by hashing, and
    are the same under all weights. If empty, they are derived from the chain."""
    chains: ChainSource | None = None
    """Source of the chain under weights other than `weights_version`."""

    def find_affinity_keys(self) -> tuple[int, ...]:
        """Return the affinity keys of the prompt."""
        return self.affinity_keys or sample_chain(self.chain)

    def find_chain(self, weights_version: str) -> tuple[int, ...]:
        """Return the chain under an endpoint's weights; empty if unknown."""
        is_desired = not weights_version or weights_version == self.weights_version
        if is_desired or self.chains is None:
            return self.chain
        return self.chains.find_chain(weights_version)


class ServiceTarget(msgspec.Struct, frozen=True):
    """A call of a plain service."""

    service: ServiceName
    method: str
    path: str


class Request(msgspec.Struct, frozen=True):
    """One request of one caller; `deadline_ms` is a time of the node's clock."""

    request_id: RequestId
    customer: CustomerName
    priority: PriorityClass
    target: ModelTarget | ServiceTarget
    repeatability: Repeatability
    arrived_ms: float
    deadline_ms: float
    configuration_version: int
    key: str = ""
    key_age_ms: float | None = None
    """Time since the caller first sent the key, as declared; 0 for a first attempt."""
    body_digest: bytes = b""


class Dispatch(msgspec.Struct, frozen=True):
    """Send the request to this endpoint now."""

    request_id: RequestId
    endpoint: EndpointName
    address: Address
    attempt: int
    expected_incarnation: Incarnation | None
    weights_version: str
    """Weights that the endpoint must have loaded; empty if any are acceptable."""
    priority: int
    """Priority in the endpoint's own queue; 0 is the most urgent."""
    silence_ms: float
    """Silence after which the stream is probed on a new connection."""


class Refuse(msgspec.Struct, frozen=True):
    """Answer the caller immediately with this refusal."""

    request_id: RequestId
    kind: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int
    attempts: int = 0
    """Endpoints that may have got the request."""


class CachedAnswer(msgspec.Struct, frozen=True):
    """The complete answer to a keyed request, as it was first sent."""

    status: int
    content_type: str
    body: bytes


class Replay(msgspec.Struct, frozen=True):
    """Answer the caller with the cached answer to an earlier attempt."""

    request_id: RequestId
    answer: CachedAnswer


class DispatchEnding(enum.StrEnum):
    """How one dispatch ended, as seen by the task that owned the connection."""

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    """No byte of the request was sent, so it did not run."""
    REFUSED = "refused"
    """The endpoint answered that it did not run the request."""
    FAILED = "failed"
    """The endpoint answered with an error after it may have run."""
    LOST = "lost"
    """The connection failed or went silent and could not be resumed."""
    CANCELLED = "cancelled"
    """The caller disconnected."""


PROVEN_NOT_RUN: Final = frozenset({DispatchEnding.NOT_SENT, DispatchEnding.REFUSED})
"""Endings that prove that the request did not run."""


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of one dispatch."""

    request_id: RequestId
    endpoint: EndpointName
    ending: DispatchEnding
    incarnation: Incarnation | None = None
    weights_version: str = ""
    first_token_ms: float | None = None
    """Time from dispatch to the first byte of the answer's body."""
    duration_ms: float = 0.0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    events_relayed: int = 0
    longest_pause_ms: float = 0.0
    """Longest time between two chunks of a stream, including those after a resume."""
    answer: CachedAnswer | None = None
    """Set for keyed requests that completed."""


Verdict = Dispatch | Refuse | Replay
