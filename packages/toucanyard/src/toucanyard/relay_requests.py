"""Calls that pass through unchanged: what decides about them, and the verdicts."""

from __future__ import annotations

import msgspec

from toucanyard.names import (
    Address,
    CustomerName,
    EndpointName,
    Fingerprint,
    ReplicaId,
    RequestId,
    ServiceName,
)
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.requests import DispatchEnding, Refuse, Repeatability


class Prompt(msgspec.Struct, frozen=True):
    """The prompt of a call: parts that others share first, its own part last."""

    model: str
    parts: tuple[PromptBlock, ...]
    max_output_tokens: int

    def count_tokens(self) -> int:
        """Return the tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    def count_shared(self) -> int:
        """Return the tokens of the parts that other prompts may share."""
        return sum(part.tokens for part in self.find_shared())

    def find_shared(self) -> tuple[PromptBlock, ...]:
        """Return the parts that other prompts may share."""
        return self.parts[:-1]


class RelayRequest(msgspec.Struct, frozen=True):
    """One call of one caller; points in time are in the node's time."""

    request_id: RequestId
    """The node's own, never used twice."""
    caller_id: str
    """The caller's name for this try, which answers echo."""
    customer: CustomerName
    is_isolated: bool
    route: str
    service: ServiceName
    repeatability: Repeatability
    is_stream: bool
    is_resumable: bool
    max_attempts: int
    rank: int
    target_ms: int
    arrived_ms: float
    deadline_ms: float
    """The caller's deadline or the route's timeout, whichever comes first."""
    table_version: int
    prompt: Prompt | None = None
    tokens: int | None = None
    """Prompt tokens and the most output tokens; None if the caller doesn't say."""
    fingerprint: Fingerprint = Fingerprint("")
    """The same for each repeat of the request; empty if it is not known."""


class PlacementReason(msgspec.Struct, frozen=True):
    """What decided about a dispatch, for the log."""

    total_ms: float
    wait_ms: float
    unread_tokens: int
    fetched_tokens: int
    considered: int
    queued_ms: float
    view_age_ms: float
    """Time since the store confirmed the list of replicas."""
    gone_ms: float | None = None
    """Time since this node learned that the replica left the list; None if listed."""


class RelayDispatch(msgspec.Struct, frozen=True):
    """Send the call to this replica now."""

    request_id: RequestId
    replica: EndpointName
    listed_as: ReplicaId
    """Under which the replica answers; what a call names."""
    address: Address
    attempt: int
    rank: int
    connect_ms: float
    """Wait for the connection after which another replica is tried."""
    patience_ms: float
    """Wait for the answer's head after which another replica is tried."""
    weights_version: int | None = None
    """Weights that the replica must have."""
    cache_scope: str = ""
    """Under which the replica keeps the prompt's parts."""
    fetch_from: Address | None = None
    """Where the replica can get parts that it lacks."""
    save_to: Address | None = None
    """The store that is to keep the parts that are read."""
    reason: PlacementReason | None = None
    is_limited: bool = False
    """The replica has named a limit; the answer shows whether it still does."""


RelayVerdict = RelayDispatch | Refuse


class RelayReply(msgspec.Struct, frozen=True):
    """Answer the question about a call; None says that it is over."""

    request_id: RequestId
    verdict: RelayVerdict | None


class RelayOutcome(msgspec.Struct, frozen=True):
    """What is known when one dispatch has ended."""

    request_id: RequestId
    replica: EndpointName
    ending: DispatchEnding
    text: str = ""
    is_dead: bool = False
    """Nothing answered at the replica's address."""
    has_no_listener: bool = False
    """The replica's VM refused the connection: no process listens at the address."""
    is_closed: bool = False
    """The connection was closed before the answer was whole."""
    is_replaced: bool = False
    """Another replica answers at the address."""
    has_other_weights: bool = False
    """The replica refused since it has other weights than were asked for."""
    has_begun: bool = False
    """Part of the answer has reached the caller."""
    weights_version: int | None = None
    """Weights that the answer names."""
