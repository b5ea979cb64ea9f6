"""Define the input events and output actions of a node's core.

The driver of the core (the node's task, a test or a benchmark) translates socket and
timer events into these events, and carries out the actions.
"""

from __future__ import annotations

import msgspec

from toucanyard.cache_view import CacheDump, CacheEvents
from toucanyard.errorcodes import ErrorKind
from toucanyard.load_view import LoadReport
from toucanyard.names import (
    Address,
    CustomerName,
    EndpointName,
    NodeId,
    NodeName,
    RequestId,
)
from toucanyard.order_messages import EndpointState, OrderOutcome, SendOrder
from toucanyard.patches import Patch
from toucanyard.platform_log import (
    AppendResult,
    LogRecord,
)
from toucanyard.requests import Outcome, Refuse, Request, Verdict
from toucanyard.vm_view import Vm
from toucanyard.wire import PeerMessage


class RequestArrived(msgspec.Struct, frozen=True):
    """A request passed the checks of the client HTTP server; answered by one Reply."""

    request: Request


class RequestTurnedAway(msgspec.Struct, frozen=True):
    """The client HTTP server rejected a customer's request itself; not answered."""

    customer: CustomerName
    configuration_version: int
    refusal: Refuse


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a request without a verdict disconnected; no Reply is needed."""

    request_id: RequestId


class FirstTokenSeen(msgspec.Struct, frozen=True):
    """The first byte of an answer arrived, `after_ms` after its dispatch."""

    request_id: RequestId
    after_ms: float


class DispatchFinished(msgspec.Struct, frozen=True):
    """A dispatch has ended; answered by one Reply."""

    outcome: Outcome


class LogRead(msgspec.Struct, frozen=True):
    """Records from one offset up to another, and the end of the log at the request."""

    from_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
    head: int
    asked_ms: float


class LogExpired(msgspec.Struct, frozen=True):
    """Records before `oldest` have expired; reading continues there."""

    oldest: int


class LogReadRestarted(msgspec.Struct, frozen=True):
    """Reading restarts at the first record; records read before are repeated."""


class LogStateSeen(msgspec.Struct, frozen=True):
    """The log answered a request, or failed to."""

    is_up: bool


class AppendSettled(msgspec.Struct, frozen=True):
    """The append of these records has finished, or its result stays unknown."""

    record_ids: tuple[str, ...]
    result: AppendResult


class VmsRead(msgspec.Struct, frozen=True):
    """The VM list was read."""

    vms: tuple[Vm, ...]


class LinksChanged(msgspec.Struct, frozen=True):
    """All peers with an established link, and their authenticated incarnations."""

    peers: tuple[NodeId, ...]


class MessageRead(msgspec.Struct, frozen=True):
    """A peer, of authenticated name and incarnation, sent a message."""

    sender: NodeId
    message: PeerMessage


class PatchSubmitted(msgspec.Struct, frozen=True):
    """An operator submitted a patch; answered by one PatchAnswered."""

    patch: Patch
    deadline_ms: float


class LoadRead(msgspec.Struct, frozen=True):
    """An endpoint reported its load in answer to a request sent at `asked_ms`."""

    endpoint: EndpointName
    report: LoadReport
    asked_ms: float


class CacheEventsRead(msgspec.Struct, frozen=True):
    """An engine published cache events."""

    endpoint: EndpointName
    events: CacheEvents


class CacheDumpRead(msgspec.Struct, frozen=True):
    """An engine listed its cached blocks."""

    endpoint: EndpointName
    dump: CacheDump


class EndpointPollFailed(msgspec.Struct, frozen=True):
    """An endpoint did not answer a poll."""

    endpoint: EndpointName


class StateRead(msgspec.Struct, frozen=True):
    """An endpoint reported its state in answer to a request sent at `asked_ms`."""

    endpoint: EndpointName
    state: EndpointState
    asked_ms: float


class OrderEnded(msgspec.Struct, frozen=True):
    """The outcome of an order, as far as its sender can know it."""

    sent: SendOrder
    outcome: OrderOutcome


class DrainBegun(msgspec.Struct, frozen=True):
    """The planned stop has begun; `address` is this node's address for callers."""

    address: Address


class TickPassed(msgspec.Struct, frozen=True):
    """A timer tick, required about every 50 ms."""


class Reply(msgspec.Struct, frozen=True):
    """Answer an event of a request; None if the request is finished."""

    request_id: RequestId
    verdict: Verdict | None


class AppendToLog(msgspec.Struct, frozen=True):
    """Append a record, batched with others; AppendSettled must follow.

    `is_urgent` if a caller is waiting for it.
    """

    record_id: str
    text: str
    is_urgent: bool


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message to a peer, without a guarantee of delivery."""

    node: NodeName
    message: PeerMessage


class PatchAnswered(msgspec.Struct, frozen=True):
    """Report the outcome of a patch to an operator.

    `version` is the patch's own or, on a conflict, the one that won. `error` is
    OUTCOME_UNKNOWN if the log gave no result in time: the patch may still be
    accepted, and the same patch id may be submitted again.
    """

    patch_id: str
    version: int
    error: ErrorKind | None
    text: str


class ReadDump(msgspec.Struct, frozen=True):
    """Request the list of its cached blocks from an engine."""

    endpoint: EndpointName
