"""Run a real RelayCore in virtual time: ticks, messages, store, orders and calls."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Final

import msgspec

from toucanyard.crash_detector import Reachability
from toucanyard.keyed_view import Topic
from toucanyard.log_position import START
from toucanyard.names import (
    EndpointName,
    Incarnation,
    NodeId,
    RequestId,
)
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import (
    EraseQuarantine,
    QuarantinedRequest,
    WriteQuarantine,
)
from toucanyard.relay_core import TICK_MS, RelayCore
from toucanyard.relay_events import (
    AnnounceNode,
    AppendLease,
    AppendTries,
    ConnectionProbed,
    EraseOrigin,
    LeaseAppended,
    LinkMessageRead,
    LogEntry,
    NodeAnnounced,
    OrderAnswered,
    OriginErased,
    OriginWritten,
    PeersLinked,
    ProbeConnection,
    PromptBlocksChanged,
    QuarantineErased,
    QuarantineWritten,
    ReadLeases,
    ReadReplicaState,
    ReadStreamRecords,
    RelayAction,
    RelayEvent,
    ReplicaStateRead,
    SendToPeer,
    StoreFailed,
    StreamRecordsFailed,
    StreamRecordsRead,
    TickPassed,
    TriesAppended,
    WeightsOrder,
    WriteOrigin,
)
from toucanyard.relay_options import RelayOptions
from toucanyard.relay_requests import RelayReply
from toucanyard.stream_records import StreamAction
from toucanyard_emulator.engine import Availability, Engine
from toucanyard_emulator.relayed_call import RelayedCall

if TYPE_CHECKING:
    from toucanyard_emulator.simulation import Simulation

WATCH_INTERVAL_MS: Final = {Topic.REPLICAS: 50.0, Topic.NODES: 250.0}
PROBE_TIMEOUT_MS: Final = 150.0
STORE_LATENCY_MS: Final = 5.0
"""Duration of a call to the store, including network latency."""
STORE_TIMEOUT_MS: Final = 1_200.0
POLL_RETRY_MS: Final = 250.0
STATE_READ_TIMEOUT_MS: Final = 500.0
ORDER_TIMEOUT_MS: Final = 1_000.0
FOLLOW_INTERVAL_MS: Final = 200.0
"""Interval between reads of the prompt block changes of a holder."""
FOLLOWED_UPDATE_INTERVAL_MS: Final = 500.0
_ACCEPTED: Final = 202


class EmulatedNode:
    """One incarnation of a node. Invariant: it does nothing after `stop`."""

    def __init__(
        self,
        simulation: Simulation,
        number: int,
        incarnation: int,
        options: RelayOptions,
    ) -> None:
        self.simulation = simulation
        self.number = number
        self.domain = options.domain
        self.is_up = True
        self.identity = NodeId(options.name, Incarnation(f"i{incarnation}"))
        rng = random.Random(f"{simulation.seed} node {number} {incarnation}")
        self.core = RelayCore(options, self.identity, simulation.store.decode, rng)
        self.log_entries: list[tuple[float, LogEntry]] = []
        self._rng = rng
        self._calls: dict[RequestId, RelayedCall] = {}
        self._next_positions = dict.fromkeys(Topic, START)
        self._followed: dict[EndpointName, int] = {}
        """Number of changes received so far, by holder."""

    @property
    def now_ms(self) -> float:
        """Return the current virtual time."""
        return self.simulation.clock.now_ms

    def start(self) -> None:
        """Start the periodic tasks of the node."""
        self.schedule(self._rng.uniform(0.0, TICK_MS), self._tick)
        self._poll()
        for topic, interval_ms in WATCH_INTERVAL_MS.items():
            self.schedule(
                self._rng.uniform(0.0, interval_ms), partial(self._watch, topic)
            )
        self.schedule(FOLLOW_INTERVAL_MS, self._update_followed)

    def stop(self) -> None:
        """Stop immediately; connections of callers are closed."""
        self.is_up = False
        for call in list(self._calls.values()):
            call.handle_node_stopped()
        self._calls.clear()

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay, unless the node was stopped before then."""

        def run() -> None:
            if self.is_up:
                callback()

        self.simulation.clock.call_after(max(delay_ms, 0.0), run)

    def accept_call(self, call: RelayedCall) -> None:
        """Accept and start a call from a caller."""
        self._calls[call.request.request_id] = call
        call.begin()

    def remove_call(self, call: RelayedCall) -> None:
        """Remove a call that has ended."""
        self._calls.pop(call.request.request_id, None)

    def is_ready(self) -> bool:
        """Return whether the node accepts calls."""
        return self.is_up and self.core.is_ready()

    def handle(self, event: RelayEvent) -> None:
        """Pass an event to the core and execute the resulting actions."""
        if not self.is_up:
            return
        for action in self.core.handle(event, self.now_ms):
            self._execute(action)

    def _execute(self, action: RelayAction) -> None:
        match action:
            case RelayReply(request_id=request_id, verdict=verdict):
                call = self._calls.get(request_id)
                if call is not None:
                    # As in a real node, the waiting task resumes later and not within
                    # this event.
                    self.schedule(0.0, lambda: call.apply_verdict(verdict))
            case SendToPeer(node=name, message=message):
                self.simulation.send(
                    self, name, LinkMessageRead(self.identity, message)
                )
            case ReadLeases(from_offset=offset):
                self._call_store(lambda: self._read_leases(offset), "turns")
            case AppendLease():
                self._append_lease(action)
            case ReadReplicaState() | ProbeConnection() | WeightsOrder():
                self._call_replica(action)
            case WriteQuarantine() | EraseQuarantine() | AnnounceNode():
                self._write(action)
            case ReadStreamRecords() | WriteOrigin() | EraseOrigin() | AppendTries():
                self._use_stream_records(action)
            case LogEntry():
                self.log_entries.append((self.now_ms, action))

    def _tick(self) -> None:
        self.handle(TickPassed())
        self.schedule(self.core.compute_tick(), self._tick)

    def _is_store_down(self) -> bool:
        return self.number in self.simulation.store.down_nodes

    def _call_store(self, callback: Callable[[], None], purpose: str) -> None:
        self.simulation.store.calls += 1
        asked_ms = self.now_ms
        if self._is_store_down():
            self.schedule(
                STORE_TIMEOUT_MS, lambda: self._report_store_failure(purpose, asked_ms)
            )
        else:
            self.schedule(STORE_LATENCY_MS, callback)

    def _report_store_failure(self, purpose: str, asked_ms: float) -> None:
        self.handle(StoreFailed(purpose, "no answer", asked_ms))

    def _poll(self) -> None:
        if self._is_store_down():
            self._report_store_failure("operator", self.now_ms)
            self.schedule(POLL_RETRY_MS, self._poll)
            return
        self._read(Topic.OPERATOR, self.now_ms)
        self.simulation.store.wait(lambda: self.schedule(STORE_LATENCY_MS, self._poll))

    def _watch(self, topic: Topic) -> None:
        view = self.core.exchange.views[topic]
        is_new = view.end == self._next_positions[topic] == START
        if is_new or self.core.reads.is_due(topic, self.now_ms):
            self.core.reads.record_read_started(topic, self.now_ms)
            asked_ms = self.now_ms
            self._call_store(lambda: self._read(topic, asked_ms), topic.value)
        self.schedule(WATCH_INTERVAL_MS[topic], lambda: self._watch(topic))

    def _read(self, topic: Topic, asked_ms: float) -> None:
        since = max(self.core.exchange.views[topic].end, self._next_positions[topic])
        read = self.simulation.store.read(topic, since)
        self._next_positions[topic] = read.position
        self.handle(msgspec.structs.replace(read, asked_ms=asked_ms))

    def _read_leases(self, offset: int) -> None:
        self.handle(self.simulation.store.read_leases(offset))

    def _append_lease(self, action: AppendLease) -> None:
        sent_ms = self.now_ms
        self.simulation.store.calls += 1
        if self._is_store_down():
            self.schedule(
                STORE_TIMEOUT_MS,
                lambda: self._report_append(None, sent_ms, action),
            )
            return

        def append() -> None:
            offset = self.simulation.store.append_lease(action.value, action.at)
            self._report_append(offset, sent_ms, action)

        self.schedule(STORE_LATENCY_MS, append)

    def _report_append(
        self, offset: int | None, sent_ms: float, action: AppendLease
    ) -> None:
        era = self.simulation.store.era
        self.handle(LeaseAppended(offset, sent_ms, None, era, action.era))

    def _use_stream_records(self, action: StreamAction) -> None:
        """Execute a call about streams, of which the emulated store keeps none."""
        asked_ms = self.now_ms
        if self._is_store_down():
            self.simulation.store.calls += 1
            failed = self._build_record_result(action, asked_ms, is_done=False)
            self.schedule(STORE_TIMEOUT_MS, lambda: self.handle(failed))
            return

        def answer() -> None:
            if isinstance(action, ReadStreamRecords):
                for topic in (Topic.REPLICAS, Topic.OPERATOR):
                    self._read(topic, asked_ms)
            self.handle(self._build_record_result(action, asked_ms, is_done=True))

        self._call_store(answer, "streams")

    def _build_record_result(
        self, action: StreamAction, asked_ms: float, *, is_done: bool
    ) -> RelayEvent:
        era = self.simulation.store.era
        match action:
            case ReadStreamRecords() if is_done:
                return StreamRecordsRead(asked_ms, (), (), 0, era)
            case ReadStreamRecords():
                return StreamRecordsFailed()
            case WriteOrigin(origin=origin):
                return OriginWritten(origin, is_done, era)
            case EraseOrigin(origin=origin):
                return OriginErased(origin, is_done)
            case AppendTries():
                return TriesAppended(is_done)

    def _announce(self, record: NodeRecord) -> None:
        self.simulation.store.put(Topic.NODES, record.name, record)
        self.handle(NodeAnnounced(self.simulation.store.era))

    def _write(self, action: WriteQuarantine | EraseQuarantine | AnnounceNode) -> None:
        match action:
            case AnnounceNode(record=record):
                self._call_store(lambda: self._announce(record), "announce")
            case _:
                self._put_quarantine(action)

    def _put_quarantine(self, action: WriteQuarantine | EraseQuarantine) -> None:
        request: QuarantinedRequest | None = None
        done: RelayEvent
        match action:
            case WriteQuarantine(request=request):
                fingerprint = request.fingerprint
                done = QuarantineWritten(fingerprint, self.simulation.store.era)
            case EraseQuarantine(fingerprint=fingerprint):
                done = QuarantineErased(fingerprint, self.simulation.store.era)

        def put() -> None:
            self.simulation.store.put(Topic.NODES, f"quarantine/{fingerprint}", request)
            self.handle(done)

        self._call_store(put, "quarantine")

    def _call_replica(
        self, action: ReadReplicaState | ProbeConnection | WeightsOrder
    ) -> None:
        match action:
            case ReadReplicaState():
                self._read_state(action)
            case ProbeConnection():
                self._probe_connection(action)
            case WeightsOrder():
                self._send_order(action)

    def _probe_connection(self, probe: ProbeConnection) -> None:
        engine = self.simulation.pool.find_replica(probe.replica)
        is_up = engine is not None and engine.availability is Availability.UP
        is_silent = engine is not None and engine.availability is Availability.SILENT
        probed = ConnectionProbed(probe.replica, is_up, self.now_ms)
        delay_ms = PROBE_TIMEOUT_MS if is_silent else 2.0
        self.schedule(delay_ms, lambda: self.handle(probed))

    def _read_state(self, read: ReadReplicaState) -> None:
        asked_ms = self.now_ms
        engine = self.simulation.pool.find_replica(read.replica)
        if not isinstance(engine, Engine) or engine.availability is not Availability.UP:
            is_silent = (
                engine is not None and engine.availability is Availability.SILENT
            )
            delay_ms = STATE_READ_TIMEOUT_MS if is_silent else 2.0
            reach = Reachability.NO_ANSWER if is_silent else Reachability.NO_LISTENER
            failed = ReplicaStateRead(read.replica, None, asked_ms, reach)
            self.schedule(delay_ms, lambda: self.handle(failed))
            return
        state = engine.read_state()
        latency_ms = self.simulation.pool.compute_latency(self.domain, read.replica)
        self.schedule(
            4 * latency_ms + 1.0,
            lambda: self.handle(ReplicaStateRead(read.replica, state, asked_ms)),
        )

    def _send_order(self, order: WeightsOrder) -> None:
        self.simulation.counts.orders += 1
        late_ms = self.simulation.pool.draw_order_delay()
        engine = self.simulation.pool.find_replica(order.replica)
        is_up = isinstance(engine, Engine) and engine.availability is Availability.UP
        if late_ms is not None or not is_up:
            self.schedule(
                ORDER_TIMEOUT_MS, lambda: self.handle(OrderAnswered(order, None))
            )
            if late_ms is not None:
                self.simulation.pool.apply_order_later(order, late_ms)
            return
        latency_ms = self.simulation.pool.compute_latency(self.domain, order.replica)

        def apply_order() -> None:
            status = self.simulation.pool.apply_order(order)
            self.schedule(latency_ms, lambda: self.handle(OrderAnswered(order, status)))

        self.schedule(3 * latency_ms + 1.0, apply_order)

    def _update_followed(self) -> None:
        core = self.core
        wanted = {
            each.name for each in core.sources.find_followed(core.index, self.now_ms)
        }
        for name in sorted(wanted - set(self._followed)):
            self._followed[name] = 0
            self._follow(name)
        for name in set(self._followed) - wanted:
            del self._followed[name]
        self.schedule(FOLLOWED_UPDATE_INTERVAL_MS, self._update_followed)

    def _follow(self, name: EndpointName) -> None:
        if name not in self._followed:
            return
        update = self.simulation.pool.read_block_changes(name, self._followed[name])
        if update is not None:
            changes, self._followed[name] = update
            self.handle(PromptBlocksChanged(name, changes, is_reset=False, epoch=1))
        self.schedule(FOLLOW_INTERVAL_MS, lambda: self._follow(name))

    def set_links(self, peers: tuple[NodeId, ...]) -> None:
        """Report the currently linked peers to the core."""
        self.handle(PeersLinked(peers))
