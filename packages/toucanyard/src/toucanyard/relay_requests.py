"""Relayed calls: the attributes that decisions use, and the decisions."""

from __future__ import annotations

import msgspec

from toucanyard.errorcodes import ErrorKind
from toucanyard.names import (
    Address,
    CustomerName,
    EndpointName,
    Fingerprint,
    NodeName,
    ReplicaId,
    RequestId,
    ServiceName,
    SoftwareVersion,
)
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.requests import DispatchEnding, Refuse, Repeatability
from toucanyard.stream_origins import StreamOrigin


class Prompt(msgspec.Struct, frozen=True):
    """The prompt of a call: shareable blocks first, its own block last."""

    model: str
    parts: tuple[PromptBlock, ...]
    max_output_tokens: int

    def count_tokens(self) -> int:
        """Return the number of tokens of the whole prompt."""
        return sum(part.tokens for part in self.parts)

    def count_shared(self) -> int:
        """Return the number of tokens of the blocks that other prompts may share."""
        return sum(part.tokens for part in self.find_shared())

    def find_shared(self) -> tuple[PromptBlock, ...]:
        """Return the blocks that other prompts may share."""
        return self.parts[:-1]


class RelayRequest(msgspec.Struct, frozen=True):
    """One call of one caller; times are in the node's own clock."""

    request_id: RequestId
    """Assigned by the node and never reused."""
    caller_id: str
    """The caller's id of this try, which responses echo."""
    customer: CustomerName
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
    """The caller's deadline or the route's timeout, whichever is earlier."""
    table_version: int
    prompt: Prompt | None = None
    tokens: int | None = None
    """Prompt tokens plus maximum output tokens; None if the caller gives no count."""
    fingerprint: Fingerprint = Fingerprint("")
    """The same for each repetition of the request; empty if unknown."""
    is_forwarded: bool = False
    """A peer has forwarded it. It is never forwarded again."""
    is_counted: bool = False
    """The peer has counted it as a first try."""
    has_begun: bool = False
    """Its response has begun at the peer and may only be resumed."""
    begun_weights_version: int | None = None
    """Weights version of that response."""
    last_event_id: str = ""
    """Last event that the caller has of the stream; empty for a new stream."""
    resumed_id: str = ""
    """The caller's id of the try that brought the first event of that stream; empty
    if the caller does not name it."""
    services: tuple[ServiceName, ...] = ()
    """All services that the route sends calls to."""
    origin: StreamOrigin | None = None
    """Where the stream began, if the peer that has forwarded the call knows it."""


class PlacementReason(msgspec.Struct, frozen=True):
    """The reasons for a dispatch, for the log."""

    total_ms: float
    wait_ms: float
    unread_tokens: int
    fetched_tokens: int
    considered: int
    queued_ms: float
    view_age_ms: float
    """Time since the store last confirmed the list of replicas."""
    gone_ms: float | None = None
    """Time since this node learned that the replica was removed; None if listed."""
    speed_factor: float = 1.0
    """Speed of the replica relative to the mean."""
    short_share: float | None = None
    """Share of the replicas that short prompts prefer; None if it is fixed."""


class RelayDispatch(msgspec.Struct, frozen=True):
    """Decision to send the call to this replica now."""

    request_id: RequestId
    replica: EndpointName
    listed_as: ReplicaId
    """Identity that the call names and the replica answers to."""
    address: Address
    attempt: int
    rank: int
    connect_ms: float
    """Connect timeout, after which another replica is tried."""
    patience_ms: float
    """Timeout of the response's head, after which another replica is tried."""
    weights_version: int | None = None
    """Weights version that the replica must have."""
    cache_scope: str = ""
    """Scope in which the replica caches the prompt's blocks."""
    fetch_from: Address | None = None
    """Where the replica can fetch blocks that it lacks."""
    save_to: Address | None = None
    """The prompt store to which the blocks that are read are saved."""
    reason: PlacementReason | None = None
    is_brittle: bool = False
    """The replica has stated that it is brittle; its response shows whether it still
    is."""
    hedged: int = 0
    """Silent attempts of the call that are open beside this one."""
    silence: int = 0
    """Number of the silence that this attempt hedges."""
    is_limited: bool = False
    """The replica has announced a limit; its response shows whether it still does."""
    service: ServiceName = ServiceName("")
    software_version: SoftwareVersion = SoftwareVersion("")
    """Version of the replica's program when it was chosen."""
    may_reuse: bool = False
    """The call may be sent on a kept connection."""
    may_keep: bool = False
    """Its connection may be kept afterwards."""


class RelayForward(msgspec.Struct, frozen=True):
    """Decision to let a peer place the call, since this node reaches no replica."""

    request_id: RequestId
    peer: NodeName
    address: Address
    attempt: int
    connect_ms: float
    """Timeout of the connection to the peer, after which another one is tried."""
    max_attempts: int
    """Replicas on which the peer may run the call."""
    patience_ms: float
    """Timeout of the head of the peer's answer, after which the call is retried."""
    unreached_ms: float
    """For how long this node has reached no replica of the service."""
    candidates: int
    is_counted: bool = False
    has_begun: bool = False
    weights_version: int | None = None
    """Weights version of a response that has begun."""
    origin: StreamOrigin | None = None
    """Where the stream began and has to go on."""
    hedged: int = 0
    """Silent attempts of the call that are open beside this one."""
    silence: int = 0
    """Number of the silence that this attempt hedges."""


class HedgeWithheld(msgspec.Struct, frozen=True):
    """Decision to wait for a silent attempt, as no other one can be sent now."""

    request_id: RequestId
    attempt: int
    """The attempt that the call waits for."""
    kind: ErrorKind
    """Why the call would have been refused without that attempt."""
    text: str


RelayVerdict = RelayDispatch | RelayForward | HedgeWithheld | Refuse


class RelayReply(msgspec.Struct, frozen=True):
    """Reply to a pending call; None means that the call has ended."""

    request_id: RequestId
    verdict: RelayVerdict | None


class ForwardOutcome(msgspec.Struct, frozen=True):
    """The outcome of forwarding a call to a peer."""

    request_id: RequestId
    peer: NodeName
    ending: DispatchEnding
    """REFUSED only if the peer has stated that the call did not run."""
    text: str = ""
    kind: ErrorKind | None = None
    """Reason of the peer's refusal."""
    retry_after_ms: float | None = None
    attempts: int | None = None
    """Replicas that may have got the call; None if the peer has not said."""
    has_begun: bool = False
    """Part of the response has reached the caller."""
    origin: StreamOrigin | None = None
    """Where that response began."""
    attempt: int = 0
    """Number of the attempt; 0 for the current one."""


class RelayOutcome(msgspec.Struct, frozen=True):
    """The outcome of one dispatch."""

    request_id: RequestId
    replica: EndpointName
    ending: DispatchEnding
    text: str = ""
    is_dead: bool = False
    """There was no response at the replica's address."""
    is_withdrawn: bool = False
    """Nothing was sent, since the replica accepted no calls by then."""
    has_no_listener: bool = False
    """The replica's VM refused the connection: no process listens on the address."""
    is_closed: bool = False
    """The connection was closed before the response was complete."""
    is_unframed: bool = False
    """The response had neither a length nor chunks, so its end proves nothing."""
    wrote_ms: float | None = None
    """Time since the first event of this dispatch; None if there was none."""
    is_kept: bool = False
    """Its connection is kept for another call."""
    is_inconclusive: bool = False
    """The response is an error or has no event, so the replica may not have run the
    request."""
    is_replaced: bool = False
    """Another replica responds at the address."""
    has_other_weights: bool = False
    """The replica refused because its weights differ from the requested ones."""
    has_begun: bool = False
    """Part of the response has reached the caller."""
    weights_version: int | None = None
    """Weights version that the response names."""
    broken_bound: str = ""
    """The bound on received bytes that the response exceeded."""
    is_shared_bound: bool = False
    """That bound counts other responses as well."""
    attempt: int = 0
    """Number of the attempt; 0 for the current one."""
