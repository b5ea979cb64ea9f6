"""Define the input events and output actions of the at-most-once decision."""

from __future__ import annotations

import msgspec

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.key_messages import KeyMessage
from toucanyard.names import CustomerName, Incarnation, NodeId, NodeName, RequestId
from toucanyard.platform_log import AppendResult, LogRecord
from toucanyard.requests import CachedAnswer, DispatchEnding


class KeyedRequestArrived(msgspec.Struct, frozen=True):
    """A caller sent a request with a key.

    `key_age_ms` is the time since the caller first sent this key, by the caller's
    own clock: 0 for the first attempt, None if the caller did not declare it.
    """

    request_id: RequestId
    customer: CustomerName
    key: str
    body_digest: bytes
    deadline_ms: float
    key_age_ms: float | None = None


class DispatchStarted(msgspec.Struct, frozen=True):
    """The first byte of an allowed request is about to be sent."""

    request_id: RequestId


class DispatchEnded(msgspec.Struct, frozen=True):
    """An allowed request has ended, possibly without being dispatched (NOT_SENT)."""

    request_id: RequestId
    ending: DispatchEnding
    answer: CachedAnswer | None = None


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a request disconnected."""

    request_id: RequestId


class ClaimRecordsRead(msgspec.Struct, frozen=True):
    """All claim records of the log from one offset up to, not including, another.

    Records of other kinds may be omitted.
    """

    from_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class RecordsSettled(msgspec.Struct, frozen=True):
    """The append of these records has finished, or its result stays unknown."""

    record_ids: tuple[str, ...]
    result: AppendResult


class LogState(msgspec.Struct, frozen=True):
    """Whether the log accepts appends and serves reads."""

    is_up: bool


class PeerView(msgspec.Struct, frozen=True):
    """A live peer in this node's view of the fleet."""

    node: NodeName
    incarnation: Incarnation
    is_other_domain: bool


class PeersChanged(msgspec.Struct, frozen=True):
    """The complete list of connected peers, without this node."""

    peers: tuple[PeerView, ...]


class PeerMessageArrived(msgspec.Struct, frozen=True):
    """Another node, of authenticated name and incarnation, sent a message."""

    sender: NodeId
    message: KeyMessage


class Ticked(msgspec.Struct, frozen=True):
    """A timer tick, required at least every `ClaimLimits.resend_ms`."""


class HandoverBegun(msgspec.Struct, frozen=True):
    """In a planned stop, the last request has ended or its time to end is over."""


ClaimEvent = (
    KeyedRequestArrived
    | DispatchStarted
    | DispatchEnded
    | CallerLeft
    | ClaimRecordsRead
    | RecordsSettled
    | LogState
    | PeersChanged
    | PeerMessageArrived
    | Ticked
    | HandoverBegun
)


class AllowDispatch(msgspec.Struct, frozen=True):
    """Dispatch this request once, before its deadline; DispatchEnded must follow."""

    request_id: RequestId


class RefuseKeyedRequest(msgspec.Struct, frozen=True):
    """Answer this request immediately with this refusal."""

    request_id: RequestId
    kind: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int


class ReplayAnswer(msgspec.Struct, frozen=True):
    """Answer this request with the answer to an earlier attempt of its key."""

    request_id: RequestId
    answer: CachedAnswer


class AppendRecord(msgspec.Struct, frozen=True):
    """Append this record; `is_urgent` if a caller is waiting for it."""

    record_id: str
    text: str
    is_urgent: bool


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message to a node, without a guarantee of delivery."""

    node: NodeName
    message: KeyMessage


ClaimAction = (
    AllowDispatch | RefuseKeyedRequest | ReplayAnswer | AppendRecord | SendToPeer
)
