"""Events that a relaying node's core handles, and actions that it returns."""

from __future__ import annotations

import msgspec

from toucanyard.crash_detector import Reachability
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.link_messages import LinkMessage
from toucanyard.log_entries import LogEntry as LogEntry
from toucanyard.log_position import LogPosition
from toucanyard.names import (
    Address,
    EndpointName,
    Fingerprint,
    NodeId,
    NodeName,
    ReplicaId,
    RequestId,
)
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import EraseQuarantine, WriteQuarantine
from toucanyard.relay_requests import (
    ForwardOutcome,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from toucanyard.replica_statements import ReplicaStatement, StatementKind
from toucanyard.stream_origins import StreamOrigin


class CallArrived(msgspec.Struct, frozen=True):
    """A call has passed the front end's checks; answered by one RelayReply."""

    request: RelayRequest


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of an undecided call has disconnected."""

    request_id: RequestId


class FirstEventSeen(msgspec.Struct, frozen=True):
    """The first part of a response has arrived."""

    request_id: RequestId
    forwarded_origin: StreamOrigin | None = None
    """Where the response began, if a peer has placed the call."""


class AttemptSilent(msgspec.Struct, frozen=True):
    """An attempt has sent nothing for some time; answered by one RelayReply.

    It stays open. The reply is a hedge or why there is none, unless the attempt ends
    or continues before.
    """

    request_id: RequestId
    attempt: int
    silence: int
    """Number of the call's silences so far, which the hedge names."""
    has_begun: bool
    """Part of the response has reached the caller."""
    origin: StreamOrigin | None = None
    """Where that response began, if a peer has placed the call."""


class AttemptContinued(msgspec.Struct, frozen=True):
    """One of several attempts continues the response; the others were cancelled."""

    request_id: RequestId
    attempt: int


class DispatchEnded(msgspec.Struct, frozen=True):
    """A dispatch has ended; answered by one RelayReply."""

    outcome: RelayOutcome


class ForwardEnded(msgspec.Struct, frozen=True):
    """A call's forward to a peer has ended; answered by one RelayReply."""

    outcome: ForwardOutcome


class ReplicaStatementSeen(msgspec.Struct, frozen=True):
    """A response states something about its replica, or no longer states a limit."""

    replica: EndpointName
    """The replica that the request was sent to."""
    statement: ReplicaStatement
    ends_limit: bool = False
    """Whether a replica that states no limit no longer has one."""

    ends_brittle: bool = False
    """Whether a replica that does not state that it is brittle no longer is."""

    def has_invalid(self, kind: StatementKind) -> bool:
        """Return whether the response contains a statement that can't be parsed."""
        return any(each.kind is kind for each in self.statement.invalid)


class TopicRead(msgspec.Struct, frozen=True):
    """The store returned records of a topic, up to `end`, for a read at `asked_ms`."""

    topic: Topic
    records: tuple[KeyedRecord, ...]
    end: int
    is_whole: bool
    asked_ms: float
    is_polled: bool = False
    """Whether the read waited for a change, as other nodes' reads do too."""
    era: int = 0
    """Era of the store that returned them."""

    @property
    def position(self) -> LogPosition:
        """Return up to where the records cover the topic."""
        return LogPosition(self.era, self.end)


class StoreEraSeen(msgspec.Struct, frozen=True):
    """An answer of the store stated a higher era than any before."""

    era: int


class StoreFailed(msgspec.Struct, frozen=True):
    """A call to the store that began at `asked_ms` failed."""

    purpose: str
    reason: str
    asked_ms: float


class PeersLinked(msgspec.Struct, frozen=True):
    """All peers that this node is linked to now."""

    peers: tuple[NodeId, ...]


class LinkMessageRead(msgspec.Struct, frozen=True):
    """A peer with a verified name and incarnation sent a message."""

    sender: NodeId
    message: LinkMessage


class PromptBlockChange(msgspec.Struct, frozen=True):
    """What a holder now has of a prompt block; 0 tokens if nothing."""

    scope: str
    part: str
    tokens: int


class PromptBlocksChanged(msgspec.Struct, frozen=True):
    """A replica or store reported its blocks; `is_reset` if its state was reset."""

    holder: EndpointName
    changes: tuple[PromptBlockChange, ...]
    is_reset: bool
    epoch: int = 0
    """Changes with each restart of the holder."""


class HolderLost(msgspec.Struct, frozen=True):
    """A replica or store no longer reports its blocks."""

    holder: EndpointName


class LeaseRead(msgspec.Struct, frozen=True):
    """The records of the leases for sending orders, up to `end`."""

    records: tuple[tuple[int, bytes], ...]
    """Offset and value."""
    end: int
    era: int = 0
    """Era of the store that returned them."""


class LeaseAppended(msgspec.Struct, frozen=True):
    """Result of an append to the lease topic; no offset if it failed."""

    offset: int | None
    sent_ms: float
    end: int | None = None
    """End of the topic, if the append's condition failed."""
    era: int = 0
    """Era of the store that answered."""
    condition_era: int = 0
    """Era in which the append's condition was read."""


class ReplicaState(msgspec.Struct, frozen=True):
    """The state that a replica reports."""

    weights: tuple[tuple[str, int], ...]
    is_busy: bool
    """Whether an order is being carried out."""
    order_count: int
    running: int
    waiting: int
    born_ms: int | None = None
    """Start time of the reporting incarnation; None if it gives none."""


class ReplicaStateRead(msgspec.Struct, frozen=True):
    """Result of a state request to a replica."""

    replica: EndpointName
    state: ReplicaState | None
    asked_ms: float
    reach: Reachability = Reachability.NO_ANSWER


class ProbeConnection(msgspec.Struct, frozen=True):
    """Open a connection to a replica and close it."""

    replica: EndpointName
    address: Address


class ConnectionProbed(msgspec.Struct, frozen=True):
    """Result of a probe of the connection to a replica."""

    replica: EndpointName
    is_connected: bool
    begun_ms: float


class WeightsOrder(msgspec.Struct, frozen=True):
    """Send a replica the order to load weights."""

    replica: EndpointName
    listed_as: ReplicaId
    address: Address
    model: str
    version: int
    holder: NodeName
    fence: int
    expected_order_count: int
    is_under_calls: bool = False
    """Whether to load while calls run; they continue on the new weights. Otherwise the
    load waits until they have ended, and new calls are rejected meanwhile."""


class OrderAnswered(msgspec.Struct, frozen=True):
    """A replica's response to an order; no status if there was none."""

    order: WeightsOrder
    status: int | None


class QuarantineWritten(msgspec.Struct, frozen=True):
    """The record of a quarantined request was written to the log."""

    fingerprint: Fingerprint
    era: int = 0
    """Era of the store that accepted it."""


class QuarantineErased(msgspec.Struct, frozen=True):
    """The removal of a quarantine record was written to the log."""

    fingerprint: Fingerprint
    era: int = 0
    """Era of the store that accepted it."""


class NodeAnnounced(msgspec.Struct, frozen=True):
    """The record of this node was written to the log."""

    era: int
    """Era of the store that accepted it."""


class StreamRecordsRead(msgspec.Struct, frozen=True):
    """The store returned its records of streams for a read sent at `asked_ms`."""

    asked_ms: float
    origins: tuple[StreamOrigin, ...]
    """All origins at which streams were begun lately."""
    tries: tuple[bytes, ...]
    """Encoded tries since the last read."""
    tries_end: int
    """Offset up to which the tries were read."""
    era: int = 0
    """Era of the store that returned them."""


class StreamRecordsFailed(msgspec.Struct, frozen=True):
    """The records of streams could not be read."""


class OriginWritten(msgspec.Struct, frozen=True):
    """Result of recording an origin of streams."""

    origin: StreamOrigin
    is_done: bool
    era: int = 0
    """Era of the store that accepted it."""


class OriginErased(msgspec.Struct, frozen=True):
    """Result of erasing an origin of streams."""

    origin: StreamOrigin
    is_done: bool


class TriesAppended(msgspec.Struct, frozen=True):
    """Result of appending tries; they are appended again if it failed."""

    is_done: bool


class StopBegun(msgspec.Struct, frozen=True):
    """The planned stop has begun."""

    keep_ms: float = 0.0
    """How long callers may still go by an address that they have kept."""
    left_ms: float = 0.0
    """Time until all calls end."""


class TickPassed(msgspec.Struct, frozen=True):
    """Time has passed; needed about every 20 ms."""


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a peer a message, which may be lost."""

    node: NodeName
    message: LinkMessage


class AnnounceNode(msgspec.Struct, frozen=True):
    """Write the record of this node again; answered by one NodeAnnounced."""

    record: NodeRecord


class ReadLeases(msgspec.Struct, frozen=True):
    """Read the lease records from an offset on."""

    from_offset: int


class AppendLease(msgspec.Struct, frozen=True):
    """Append to the lease topic if it still ends at this offset."""

    value: bytes
    at: int
    era: int = 0
    """Era of the store in which the topic ended at this offset."""


class ReadReplicaState(msgspec.Struct, frozen=True):
    """Request the state of a replica."""

    replica: EndpointName
    listed_as: ReplicaId
    address: Address


class ReadStreamRecords(msgspec.Struct, frozen=True):
    """Read the list of replicas and the records of streams.

    Answered by a TopicRead, and by one StreamRecordsRead or StreamRecordsFailed.
    """

    tries_from: int


class WriteOrigin(msgspec.Struct, frozen=True):
    """Record an origin of streams; answered by one OriginWritten."""

    origin: StreamOrigin


class EraseOrigin(msgspec.Struct, frozen=True):
    """Remove the record of an origin of streams; answered by one OriginErased."""

    origin: StreamOrigin


class AppendTries(msgspec.Struct, frozen=True):
    """Append encoded tries to the store; answered by one TriesAppended."""

    value: bytes


RelayEvent = (
    CallArrived
    | CallerLeft
    | FirstEventSeen
    | AttemptSilent
    | AttemptContinued
    | DispatchEnded
    | ForwardEnded
    | ConnectionProbed
    | TopicRead
    | StoreEraSeen
    | StoreFailed
    | ReplicaStatementSeen
    | PeersLinked
    | LinkMessageRead
    | PromptBlocksChanged
    | HolderLost
    | LeaseRead
    | LeaseAppended
    | ReplicaStateRead
    | OrderAnswered
    | QuarantineWritten
    | QuarantineErased
    | NodeAnnounced
    | StreamRecordsRead
    | StreamRecordsFailed
    | OriginWritten
    | OriginErased
    | TriesAppended
    | StopBegun
    | TickPassed
)
RelayAction = (
    RelayReply
    | SendToPeer
    | ReadLeases
    | AppendLease
    | ReadReplicaState
    | ProbeConnection
    | WeightsOrder
    | WriteQuarantine
    | EraseQuarantine
    | AnnounceNode
    | ReadStreamRecords
    | WriteOrigin
    | EraseOrigin
    | AppendTries
    | LogEntry
)
