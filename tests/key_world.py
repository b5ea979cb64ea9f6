"""Simulated nodes, log and network for the at-most-once state machine.

Events wait in a node's inbox and its actions in its outbox until a step processes one
of them, so a node can pause between any two steps. The world checks what callers see.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_events import (
    AllowDispatch,
    AppendRecord,
    CallerLeft,
    ClaimAction,
    ClaimEvent,
    ClaimRecordsRead,
    DispatchEnded,
    DispatchStarted,
    HandoverBegun,
    KeyedRequestArrived,
    LogState,
    PeerMessageArrived,
    PeersChanged,
    PeerView,
    RecordsSettled,
    RefuseKeyedRequest,
    ReplayAnswer,
    SendToPeer,
    Ticked,
)
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.issued_keys import parse_issued_key
from toucanyard.key_messages import (
    KeyMessage,
)
from toucanyard.names import (
    CustomerName,
    Incarnation,
    NodeId,
    NodeName,
    RequestId,
)
from toucanyard.options import ClaimLimits
from toucanyard.platform_log import (
    AppendResult,
    LogRecord,
)
from toucanyard.requests import CachedAnswer, DispatchEnding

WINDOW_MS = 20_000
DEADLINE_MS = 1_000
CUSTOMERS = (CustomerName("lanchas"), CustomerName("avisos"))
CLOCK_RATES = (1.0, 0.95, 1.05)
NAMES = tuple(NodeName(name) for name in "abc")
ATTEMPT_REFUSALS = frozenset(
    {
        ErrorKind.LOG_UNAVAILABLE,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.DRAINING,
    }
)


@dataclass
class Execution:
    request_id: RequestId
    digest: bytes
    allowed_ms: float
    is_age_declared: bool
    answer: CachedAnswer


@dataclass
class Attempt:
    request_id: RequestId
    node: NodeId
    sent_ms: float
    digest: bytes
    key_age_ms: float | None
    endings: list[str] = field(default_factory=list)


@dataclass
class Key:
    """One key of one customer, with everything that callers and endpoints observed."""

    customer: CustomerName
    text: str
    attempts: list[Attempt] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    refused: list[tuple[float, Attempt, ErrorKind]] = field(default_factory=list)

    def is_issued(self) -> bool:
        return parse_issued_key(self.text) is not None

    def check(self) -> None:
        """Fail if executions and refusals contradict each other.

        Issued keys and attempts with a declared key age are checked without a time
        limit, other attempts within the window that starts with the key's first one.
        """
        checked = self._find_checked()
        assert len(checked) <= 1, f"{self.text} ran twice: {checked}"
        self._check_reuse()
        for at_ms, refused, kind in self.refused:
            self._check_late_refusal(at_ms, refused, kind)
        for at_ms, refused, kind in self.refused:
            for execution in checked:
                self._check_refusal(at_ms, refused, kind, execution)

    def _check_reuse(self) -> None:
        """Fail if an execution began within the window of the previous one.

        A key that is used again after its window gets a new window. The window starts
        with the claim, and the execution is allowed at most one deadline later.
        """
        allowed_ms = sorted(each.allowed_ms for each in self.executions)
        for earlier_ms, later_ms in itertools.pairwise(allowed_ms):
            apart_ms = later_ms - earlier_ms
            assert apart_ms >= WINDOW_MS - 2 * DEADLINE_MS, f"{self.text} ran again"

    def _check_late_refusal(
        self, at_ms: float, refused: Attempt, kind: ErrorKind
    ) -> None:
        """Fail if NOT_RUN was returned within the window after an execution began.

        The key may be in use again, and the stored result of its first use proves
        nothing about the second.
        """
        if kind in ATTEMPT_REFUSALS:
            return
        for each in self.executions:
            is_meant = kind is not ErrorKind.KEY_REUSED or each.digest == refused.digest
            since_ms = at_ms - each.allowed_ms
            is_recent = 0 <= since_ms < WINDOW_MS - 2 * DEADLINE_MS
            assert not (is_meant and is_recent), f"{self.text} {kind}, but it ran"

    def _find_checked(self) -> list[Execution]:
        if self.is_issued():
            return self.executions
        end_ms = self.attempts[0].sent_ms + WINDOW_MS
        return [
            each
            for each in self.executions
            if each.allowed_ms < end_ms or each.is_age_declared
        ]

    def _check_refusal(
        self, at_ms: float, refused: Attempt, kind: ErrorKind, execution: Execution
    ) -> None:
        if at_ms >= self.attempts[0].sent_ms + WINDOW_MS and not self.is_issued():
            return
        if kind is ErrorKind.KEY_REUSED:
            assert refused.digest != execution.digest, "not run, but the same body ran"
            return
        sent_before = [each for each in self.attempts if each.sent_ms <= at_ms]
        if kind in ATTEMPT_REFUSALS and refused.key_age_ms == 0:
            # The refusal applies to the attempts sent so far, and proves nothing if
            # there were others besides the first one.
            is_by_earlier = any(
                each.request_id == execution.request_id for each in sent_before
            )
            assert len(sent_before) > 1 or not is_by_earlier, "not run, but it ran"
            return
        raise AssertionError(f"{self.text} not run by {kind}, but it ran: {execution}")


@dataclass
class Append:
    node: NodeId
    record_id: str
    text: str
    is_announced: bool = False


@dataclass
class Message:
    sender: NodeId
    to: NodeName
    message: KeyMessage


class Node:
    """One node incarnation with its clock, and its queues of events and actions."""

    def __init__(
        self, name: NodeName, number: int, clock_rate: float, keys: int
    ) -> None:
        self.identity = NodeId(name, Incarnation(f"{name}{number}"))
        self.clock_rate = clock_rate
        limits = ClaimLimits(
            window_ms=WINDOW_MS,
            log_retention_ms=3 * WINDOW_MS,
            max_keys=keys,
            kept_answers_bytes=2_000,
            ledger_ms=5_000,
        )
        rng = random.Random(number)
        self.core = AtMostOnce(name, self.identity.incarnation, limits, rng)
        self.inbox: list[ClaimEvent] = []
        self.outbox: list[ClaimAction] = []
        self.running: list[tuple[RequestId, CachedAnswer | None]] = []
        self.allowed_ms: dict[RequestId, float] = {}
        self.waiting: dict[RequestId, tuple[Key, Attempt]] = {}
        self.is_stopping = False

    def now(self, world_ms: float) -> float:
        return 1_000 + world_ms * self.clock_rate


class World:
    def __init__(self, max_keys: int = 1_000) -> None:
        self.now_ms = 0.0
        self.max_keys = max_keys
        self.log: list[LogRecord] = []
        self.log_clock_offset_ms = 0.0
        self.committed_ms: dict[int, float] = {}
        self.next_offset = 0
        self.oldest = 0
        self.is_log_up = True
        self.appends: list[Append] = []
        self.network: list[Message] = []
        self.keys: list[Key] = []
        self.nodes: dict[NodeName, Node | None] = {}
        self.started = 0
        self.requests = 0
        for name in NAMES:
            self.start(name)
        self.send_views()

    def start(self, name: NodeName) -> None:
        clock_rate = CLOCK_RATES[self.started % len(CLOCK_RATES)]
        self.started += 1
        node = Node(name, self.started, clock_rate, self.max_keys)
        node.inbox.append(LogState(self.is_log_up))
        self.nodes[name] = node

    def kill(self, name: NodeName) -> None:
        """Kill a node with all its state; its callers lose their connections."""
        node = self.nodes[name]
        if node is None:
            return
        for _, attempt in node.waiting.values():
            attempt.endings.append("cut")
        self.nodes[name] = None

    def begin_stop(self, name: NodeName) -> None:
        """Let a node transfer its ended keys, as at the end of a planned stop."""
        node = self.nodes[name]
        if node is not None:
            node.is_stopping = True
            node.inbox.append(HandoverBegun())

    def live(self) -> list[Node]:
        return [node for node in self.nodes.values() if node is not None]

    def send_views(self) -> None:
        for node in self.live():
            self.send_view(node, self.live())

    def send_view(self, node: Node, seen: list[Node]) -> None:
        views = tuple(
            PeerView(each.identity.node, each.identity.incarnation, True)
            for each in seen
            if each.identity.node != node.identity.node
        )
        node.inbox.append(PeersChanged(views))

    def send(self, node: Node, key: Key, digest: bytes, declares_age: bool) -> Attempt:
        self.requests += 1
        request_id = RequestId(f"r{self.requests}")
        first_ms = key.attempts[0].sent_ms if key.attempts else self.now_ms
        age_ms = self.now_ms - first_ms if declares_age else None
        if age_ms == 0 and key.attempts:
            age_ms = 1.0
        attempt = Attempt(request_id, node.identity, self.now_ms, digest, age_ms)
        key.attempts.append(attempt)
        node.waiting[request_id] = (key, attempt)
        deadline_ms = node.now(self.now_ms) + DEADLINE_MS
        node.inbox.append(
            KeyedRequestArrived(
                request_id, key.customer, key.text, digest, deadline_ms, age_ms
            )
        )
        return attempt

    def step(self, node: Node) -> None:
        """Let a node process its next event."""
        if node.inbox:
            event = node.inbox.pop(0)
            actions = node.core.handle(event, node.now(self.now_ms))
            node.outbox += actions
            for action in actions:
                if isinstance(action, AllowDispatch):
                    self._record_allowed(node, action.request_id)

    def _record_allowed(self, node: Node, request_id: RequestId) -> None:
        node.allowed_ms[request_id] = self.now_ms
        if request_id in node.waiting:
            _, attempt = node.waiting[request_id]
            late_ms = self.now_ms - attempt.sent_ms
            assert late_ms * node.clock_rate < DEADLINE_MS, "allowed after its deadline"

    def leave(self, node: Node, index: int) -> None:
        """Disconnect the caller of an undecided request."""
        undecided = [each for each in node.waiting if each not in node.allowed_ms]
        if undecided:
            request_id = undecided[index % len(undecided)]
            _, attempt = node.waiting.pop(request_id)
            attempt.endings.append("left")
            node.inbox.append(CallerLeft(request_id))

    def act(self, node: Node, is_sent: bool = True) -> None:
        """Let a node carry out its next action."""
        if not node.outbox:
            return
        match node.outbox.pop(0):
            case AllowDispatch(request_id=request_id):
                self._dispatch(node, request_id, is_sent)
            case RefuseKeyedRequest() as refusal:
                self._refuse(node, refusal)
            case ReplayAnswer(request_id=request_id, answer=answer):
                self._replay(node, request_id, answer)
            case AppendRecord(record_id=record_id, text=text):
                self.appends.append(Append(node.identity, record_id, text))
            case SendToPeer(node=to, message=message):
                self.network.append(Message(node.identity, to, message))

    def _dispatch(self, node: Node, request_id: RequestId, is_sent: bool) -> None:
        if request_id not in node.waiting:
            node.inbox.append(DispatchEnded(request_id, DispatchEnding.NOT_SENT))
            return
        key, attempt = node.waiting[request_id]
        node.inbox.append(DispatchStarted(request_id))
        if not is_sent:
            node.running.append((request_id, None))
            return
        number = len(key.executions)
        body = f"{key.customer} {key.text} {attempt.digest!r} {number}".encode()
        answer = CachedAnswer(200, "text/plain", body)
        key.executions.append(
            Execution(
                request_id,
                attempt.digest,
                node.allowed_ms[request_id],
                attempt.key_age_ms is not None,
                answer,
            )
        )
        node.running.append((request_id, answer))
        key.check()

    def end_dispatch(self, node: Node, ending: DispatchEnding) -> None:
        if not node.running:
            return
        request_id, answer = node.running.pop(0)
        if answer is None:
            ending = DispatchEnding.NOT_SENT
        kept = answer if ending is DispatchEnding.COMPLETED else None
        node.inbox.append(DispatchEnded(request_id, ending, kept))
        _, attempt = node.waiting.pop(request_id)
        attempt.endings.append(ending)

    def _refuse(self, node: Node, refusal: RefuseKeyedRequest) -> None:
        if refusal.request_id not in node.waiting:
            return
        key, attempt = node.waiting.pop(refusal.request_id)
        attempt.endings.append(refusal.kind)
        if refusal.ending is Ending.NOT_RUN:
            key.refused.append((self.now_ms, attempt, refusal.kind))
        key.check()

    def _replay(self, node: Node, request_id: RequestId, answer: CachedAnswer) -> None:
        if request_id not in node.waiting:
            return
        key, attempt = node.waiting.pop(request_id)
        attempt.endings.append("replayed")
        fitting = [
            each.answer for each in key.executions if each.digest == attempt.digest
        ]
        assert answer in fitting, f"{key.text} got another request's answer"

    def commit(self, text: str) -> None:
        """Add the record of an append to the log."""
        at_ms = self.now_ms + self.log_clock_offset_ms
        self.log.append(LogRecord(self.next_offset, at_ms, text))
        self.committed_ms[self.next_offset] = self.now_ms
        self.next_offset += 1

    def report_append(self, append: Append, result: AppendResult) -> None:
        append.is_announced = True
        node = self.nodes[append.node.node]
        if node is not None and node.identity == append.node:
            node.inbox.append(RecordsSettled((append.record_id,), result))

    def read(self, node: Node, overlap: int = 0) -> None:
        """Read from the node's offset on, or from the oldest record after a gap."""
        pending = [each for each in node.inbox if isinstance(each, ClaimRecordsRead)]
        if pending or not self.is_log_up:
            return
        known = node.core.find_next_offset()
        # Reads may overlap, as after the answer to a read was lost.
        start = self.oldest if known is None else max(known - overlap, self.oldest)
        records = tuple(each for each in self.log if each.offset >= start)
        node.inbox.append(ClaimRecordsRead(start, self.next_offset, records))

    def deliver(self, message: Message) -> None:
        node = self.nodes[message.to]
        if node is not None:
            node.inbox.append(PeerMessageArrived(message.sender, message.message))

    def advance(self, ms: float) -> None:
        self.now_ms += ms
        # Records of other kinds keep arriving and advance the log's clock.
        self.commit('{"kind":"checkpoint"}')
        expired_ms = self.now_ms - 3 * WINDOW_MS
        kept = [
            each for each in self.log if self.committed_ms[each.offset] > expired_ms
        ]
        self.log = kept
        self.oldest = kept[0].offset if kept else self.next_offset
        for node in self.live():
            node.inbox.append(Ticked())

    def set_log(self, is_up: bool) -> None:
        self.is_log_up = is_up
        for node in self.live():
            node.inbox.append(LogState(is_up))

    def run_node(self, node: Node) -> None:
        """Run a node until its inbox and its outbox are empty."""
        while node.inbox or node.outbox:
            self.step(node)
            while node.outbox:
                self.act(node)

    def commit_all(self) -> None:
        """Finish every append; the log refuses them while it is down."""
        appends, self.appends = self.appends, []
        for append in appends:
            if self.is_log_up:
                self.commit(append.text)
            result = AppendResult.DONE if self.is_log_up else AppendResult.REFUSED
            self.report_append(append, result)

    def deliver_all(self) -> None:
        messages, self.network = self.network, []
        for message in messages:
            self.deliver(message)

    def run_rounds(self, rounds: int, ending: DispatchEnding | None) -> None:
        """Run all nodes without faults for a number of rounds."""
        for _ in range(rounds):
            for node in self.live():
                self.read(node)
                self.run_node(node)
                if ending is not None:
                    self.end_dispatch(node, ending)
            self.commit_all()
            self.deliver_all()

    def heal(self) -> None:
        """End all faults and stops, and run until every attempt can have ended."""
        for name in NAMES:
            node = self.nodes[name]
            if node is not None and node.is_stopping:
                self.kill(name)
            if self.nodes[name] is None:
                self.start(name)
        self.set_log(True)
        self.send_views()
        for _ in range(5):
            self.run_rounds(2, DispatchEnding.COMPLETED)
            self.advance(300)
        self.run_rounds(3, DispatchEnding.COMPLETED)

    def check_all_ended(self) -> None:
        for key in self.keys:
            for attempt in key.attempts:
                assert len(attempt.endings) == 1, f"{key.text} {attempt}"
