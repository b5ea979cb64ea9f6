"""Requests as the core sees them, the events in their life and the verdicts on them."""

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
    """At most once without a name: one dispatch, never a retry."""
    KEYED = "keyed"
    """At most once over all tries that carry the same key."""


class ModelTarget(msgspec.Struct, frozen=True):
    """A request for a model, with what identifies its cacheable prompt."""

    pool: PoolName
    model: str
    adapter: str
    weights_version: str
    chain: tuple[int, ...]
    prompt_bytes: int
    max_tokens: int
    home_keys: tuple[int, ...] = ()
    """Keys that the prompt's homes are hashed by, the same under all weights; empty
    takes them from the chain."""
    chains: ChainSource | None = None
    """Gives the chain under other weights than `weights_version`."""

    def find_home_keys(self) -> tuple[int, ...]:
        """Return the keys that the prompt's homes are hashed by."""
        return self.home_keys or sample_chain(self.chain)

    def find_chain(self, weights_version: str) -> tuple[int, ...]:
        """Return the chain under an endpoint's weights; empty where unknown."""
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
    """One request of one caller; `deadline_ms` is a point in the node's time."""

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
    """Time since the caller first sent the key, by its own word; 0: a first try."""
    body_digest: bytes = b""


class Dispatch(msgspec.Struct, frozen=True):
    """Send the request to this endpoint now."""

    request_id: RequestId
    endpoint: EndpointName
    address: Address
    attempt: int
    expected_incarnation: Incarnation | None
    weights_version: str
    """Weights that the endpoint must have loaded; empty while any will do."""
    priority: int
    """For the endpoint's own queue, 0 most urgent."""
    silence_ms: float
    """Silence after which the stream is probed on a new connection."""


class Refuse(msgspec.Struct, frozen=True):
    """Answer the caller at once with this refusal."""

    request_id: RequestId
    kind: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int


class CachedAnswer(msgspec.Struct, frozen=True):
    """The whole answer to a keyed request, as first given."""

    status: int
    content_type: str
    body: bytes


class Replay(msgspec.Struct, frozen=True):
    """Give the caller the answer that an earlier try got."""

    request_id: RequestId
    answer: CachedAnswer


class DispatchEnding(enum.StrEnum):
    """How one dispatch ended, as the task that held the connection saw it."""

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    """No byte of the request left, so it did not run."""
    REFUSED = "refused"
    """The endpoint answered that it did not run the request."""
    FAILED = "failed"
    """The endpoint answered with an error after it may have run."""
    LOST = "lost"
    """The connection died or went silent and could not be resumed."""
    CANCELLED = "cancelled"
    """The caller went away."""


PROVEN_NOT_RUN: Final = frozenset({DispatchEnding.NOT_SENT, DispatchEnding.REFUSED})
"""Endings after which the request surely did not run."""


class Outcome(msgspec.Struct, frozen=True):
    """What is known when one dispatch has ended."""

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
    """Longest time between two parts of a stream, a resumed one's included."""
    answer: CachedAnswer | None = None
    """Set for keyed requests that completed."""


Verdict = Dispatch | Refuse | Replay
