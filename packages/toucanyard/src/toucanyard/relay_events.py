"""Events that the core of a relaying node takes in, and actions that it asks for."""

from __future__ import annotations

import msgspec

from toucanyard.crash_detector import Reachability
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.link_messages import LinkMessage
from toucanyard.names import (
    Address,
    EndpointName,
    Fingerprint,
    NodeId,
    NodeName,
    ReplicaId,
    RequestId,
)
from toucanyard.quarantine import EraseQuarantine, WriteQuarantine
from toucanyard.relay_notes import Note as Note
from toucanyard.relay_requests import RelayOutcome, RelayReply, RelayRequest


class CallArrived(msgspec.Struct, frozen=True):
    """A call has passed the face's checks; answered by one RelayReply."""

    request: RelayRequest


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a call without a verdict went away; nobody waits any more."""

    request_id: RequestId


class FirstEventSeen(msgspec.Struct, frozen=True):
    """The first part of an answer came."""

    request_id: RequestId


class DispatchEnded(msgspec.Struct, frozen=True):
    """A dispatch has ended; answered by one RelayReply."""

    outcome: RelayOutcome


class ReplicaLimitSeen(msgspec.Struct, frozen=True):
    """An answer has begun that names a limit of its replica, or names none any more."""

    replica: EndpointName
    limit_per_s: float | None
    invalid_text: str = ""
    """What stands in its place and can't be read."""


class TopicRead(msgspec.Struct, frozen=True):
    """The store gave records of a topic, up to `end`, when asked at `asked_ms`."""

    topic: Topic
    records: tuple[KeyedRecord, ...]
    end: int
    is_whole: bool
    asked_ms: float
    is_polled: bool = False
    """Whether the read waited for a change, as other nodes' reads do."""


class StoreFailed(msgspec.Struct, frozen=True):
    """A call to the store that began at `asked_ms` failed."""

    purpose: str
    reason: str
    asked_ms: float


class PeersLinked(msgspec.Struct, frozen=True):
    """All peers to which a link stands now."""

    peers: tuple[NodeId, ...]


class LinkMessageRead(msgspec.Struct, frozen=True):
    """A peer, whose name and incarnation are proved, sent a message."""

    sender: NodeId
    message: LinkMessage


class PartChange(msgspec.Struct, frozen=True):
    """What a holder now keeps of a part; 0 tokens if nothing."""

    scope: str
    part: str
    tokens: int


class PartsChanged(msgspec.Struct, frozen=True):
    """A replica or a store told what it keeps; `is_reset` if it has started anew."""

    holder: EndpointName
    changes: tuple[PartChange, ...]
    is_reset: bool
    epoch: int = 0
    """Another one after each of its restarts."""


class HolderLost(msgspec.Struct, frozen=True):
    """A replica or a store no longer tells what it keeps."""

    holder: EndpointName


class TurnRead(msgspec.Struct, frozen=True):
    """The records of the turns to order, up to `end`."""

    records: tuple[tuple[int, bytes], ...]
    """Offset and value."""
    end: int


class TurnAppended(msgspec.Struct, frozen=True):
    """How an append to the turns ended; no offset if it did not succeed."""

    offset: int | None
    sent_ms: float
    end: int | None = None
    """Where the topic ended, if the condition failed."""


class ReplicaState(msgspec.Struct, frozen=True):
    """What a replica reports of itself."""

    weights: tuple[tuple[str, int], ...]
    is_busy: bool
    """An order is being carried out."""
    order_count: int
    running: int
    waiting: int
    born_ms: int | None = None
    """Start of the life that reports; None if it doesn't say."""


class ReplicaStateRead(msgspec.Struct, frozen=True):
    """A replica reported, or did not."""

    replica: EndpointName
    state: ReplicaState | None
    asked_ms: float
    reach: Reachability = Reachability.NO_ANSWER


class WeightsOrder(msgspec.Struct, frozen=True):
    """Order a replica to load weights."""

    replica: EndpointName
    listed_as: ReplicaId
    address: Address
    model: str
    version: int
    holder: NodeName
    fence: int
    expected_order_count: int
    is_under_calls: bool = False
    """Whether to load while calls run; they go on under the new weights. Else the load
    waits until they have ended, and new calls are turned away meanwhile."""


class OrderAnswered(msgspec.Struct, frozen=True):
    """How a replica answered an order; no status without an answer."""

    order: WeightsOrder
    status: int | None


class QuarantineWritten(msgspec.Struct, frozen=True):
    """The log has taken a record of a request under quarantine."""

    fingerprint: Fingerprint


class QuarantineErased(msgspec.Struct, frozen=True):
    """The log has taken the removal of such a record."""

    fingerprint: Fingerprint


class StopBegun(msgspec.Struct, frozen=True):
    """The planned stop has begun."""


class TickPassed(msgspec.Struct, frozen=True):
    """Time has passed; wanted every 20 ms or so."""


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message, which may be lost, to a peer."""

    node: NodeName
    message: LinkMessage


class ReadTurns(msgspec.Struct, frozen=True):
    """Read the turns to order from an offset on."""

    from_offset: int


class AppendTurn(msgspec.Struct, frozen=True):
    """Append to the turns to order if they still end at this offset."""

    value: bytes
    at: int


class ReadReplicaState(msgspec.Struct, frozen=True):
    """Ask a replica for its state."""

    replica: EndpointName
    listed_as: ReplicaId
    address: Address


RelayEvent = (
    CallArrived
    | CallerLeft
    | FirstEventSeen
    | DispatchEnded
    | TopicRead
    | StoreFailed
    | ReplicaLimitSeen
    | PeersLinked
    | LinkMessageRead
    | PartsChanged
    | HolderLost
    | TurnRead
    | TurnAppended
    | ReplicaStateRead
    | OrderAnswered
    | QuarantineWritten
    | QuarantineErased
    | StopBegun
    | TickPassed
)
RelayAction = (
    RelayReply
    | SendToPeer
    | ReadTurns
    | AppendTurn
    | ReadReplicaState
    | WeightsOrder
    | WriteQuarantine
    | EraseQuarantine
    | Note
)
