"""List what the at-most-once decision is told, and what it wants done."""

from __future__ import annotations

import msgspec

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.key_messages import KeyMessage
from toucanyard.names import CustomerName, Incarnation, NodeId, NodeName, RequestId
from toucanyard.platform_log import AppendResult, LogRecord
from toucanyard.requests import CachedAnswer, DispatchEnding


class KeyedRequestArrived(msgspec.Struct, frozen=True):
    """A request that carries a key has come from a caller.

    `key_age_ms` is the time since the caller first sent this key, by the caller's
    own clock: 0 says that this is the first try, None that it didn't tell.
    """

    request_id: RequestId
    customer: CustomerName
    key: str
    body_digest: bytes
    deadline_ms: float
    key_age_ms: float | None = None


class DispatchStarted(msgspec.Struct, frozen=True):
    """The first byte of an allowed request is about to leave."""

    request_id: RequestId


class DispatchEnded(msgspec.Struct, frozen=True):
    """An allowed request is over, also when it was never dispatched (NOT_SENT)."""

    request_id: RequestId
    ending: DispatchEnding
    answer: CachedAnswer | None = None


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a request that is still undecided went away."""

    request_id: RequestId


class ClaimRecordsRead(msgspec.Struct, frozen=True):
    """Everything in the log from one offset up to, not including, another.

    Records of other kinds may be left out.
    """

    from_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class RecordsSettled(msgspec.Struct, frozen=True):
    """The append that carried these records has a result."""

    record_ids: tuple[str, ...]
    result: AppendResult


class LogState(msgspec.Struct, frozen=True):
    """Whether the log takes appends and gives reads."""

    is_up: bool


class PeerView(msgspec.Struct, frozen=True):
    """One live peer as this node sees it."""

    node: NodeName
    incarnation: Incarnation
    is_other_domain: bool


class PeersChanged(msgspec.Struct, frozen=True):
    """The whole list of connected peers, without this node."""

    peers: tuple[PeerView, ...]


class PeerMessageArrived(msgspec.Struct, frozen=True):
    """A message of another node, whose name and incarnation are proved."""

    sender: NodeId
    message: KeyMessage


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed; wanted at least every `ClaimLimits.resend_ms`."""


class HandoverBegun(msgspec.Struct, frozen=True):
    """This node stops as planned; its last request has ended, or had time to."""


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
    """Dispatch this request once, before its deadline; then say DispatchEnded."""

    request_id: RequestId


class RefuseKeyedRequest(msgspec.Struct, frozen=True):
    """Answer this request at once with this refusal."""

    request_id: RequestId
    kind: ErrorKind
    ending: Ending
    text: str
    retry_after_ms: int


class ReplayAnswer(msgspec.Struct, frozen=True):
    """Answer this request with what an earlier try of its key got."""

    request_id: RequestId
    answer: CachedAnswer


class AppendRecord(msgspec.Struct, frozen=True):
    """Append this record; `is_urgent` when a caller waits for it."""

    record_id: str
    text: str
    is_urgent: bool


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message, which may be lost, to a node."""

    node: NodeName
    message: KeyMessage


ClaimAction = (
    AllowDispatch | RefuseKeyedRequest | ReplayAnswer | AppendRecord | SendToPeer
)
