"""Events that a node's core takes in, and actions that it asks for.

Whoever drives the core (the node's task, a test, a bench) turns what happens on its
sockets and clock into these events and carries the actions out.
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
    """A caller's request has passed the face's checks; answered by one Reply."""

    request: Request


class RequestTurnedAway(msgspec.Struct, frozen=True):
    """A face refused a customer's request before asking about it; no answer."""

    customer: CustomerName
    configuration_version: int
    refusal: Refuse


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller of a request without a verdict went away; nobody waits any more."""

    request_id: RequestId


class FirstTokenSeen(msgspec.Struct, frozen=True):
    """The first byte of an answer came, `after_ms` after its dispatch."""

    request_id: RequestId
    after_ms: float


class DispatchFinished(msgspec.Struct, frozen=True):
    """A dispatch has ended; answered by one Reply."""

    outcome: Outcome


class LogRead(msgspec.Struct, frozen=True):
    """Every record from one offset on, and how far the log went when asked."""

    from_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
    head: int
    asked_ms: float


class LogExpired(msgspec.Struct, frozen=True):
    """Reading can go on from `oldest` only."""

    oldest: int


class LogReadRestarted(msgspec.Struct, frozen=True):
    """Reading begins again at the first record; what was read since comes again."""


class LogStateSeen(msgspec.Struct, frozen=True):
    """The log answered, or did not."""

    is_up: bool


class AppendSettled(msgspec.Struct, frozen=True):
    """The append that carried these records has a result."""

    record_ids: tuple[str, ...]
    result: AppendResult


class VmsRead(msgspec.Struct, frozen=True):
    """The VM list was read."""

    vms: tuple[Vm, ...]


class LinksChanged(msgspec.Struct, frozen=True):
    """All peers to which a link stands now, with their proved incarnations."""

    peers: tuple[NodeId, ...]


class MessageRead(msgspec.Struct, frozen=True):
    """A peer, whose name and incarnation are proved, sent a message."""

    sender: NodeId
    message: PeerMessage


class PatchSubmitted(msgspec.Struct, frozen=True):
    """An operator submitted a patch; answered by one PatchAnswered."""

    patch: Patch
    deadline_ms: float


class LoadRead(msgspec.Struct, frozen=True):
    """An endpoint reported its load when asked at `asked_ms`."""

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
    """An endpoint gave its state when asked at `asked_ms`."""

    endpoint: EndpointName
    state: EndpointState
    asked_ms: float


class OrderEnded(msgspec.Struct, frozen=True):
    """What became of an order, as far as its sender can know."""

    sent: SendOrder
    outcome: OrderOutcome


class DrainBegun(msgspec.Struct, frozen=True):
    """The planned stop has begun; `address` is where this node serves callers."""

    address: Address


class TickPassed(msgspec.Struct, frozen=True):
    """Time has passed; wanted every 50 ms or so."""


class Reply(msgspec.Struct, frozen=True):
    """Answer the question about a request; None says that it is over."""

    request_id: RequestId
    verdict: Verdict | None


class AppendToLog(msgspec.Struct, frozen=True):
    """Append a record, with others, and say AppendSettled; urgent if one waits."""

    record_id: str
    text: str
    is_urgent: bool


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message, which may be lost, to a peer."""

    node: NodeName
    message: PeerMessage


class PatchAnswered(msgspec.Struct, frozen=True):
    """Tell an operator what became of a patch.

    `version` is the patch's own or, on a conflict, the one that won. `error` is
    OUTCOME_UNKNOWN where the log did not tell in time: the patch may still be
    accepted, and the same patch id may be submitted again.
    """

    patch_id: str
    version: int
    error: ErrorKind | None
    text: str


class ReadDump(msgspec.Struct, frozen=True):
    """Ask an engine for the list of its cached blocks."""

    endpoint: EndpointName
