"""Simulation of many cores in two regions, with a log, a VM list and engines."""

from __future__ import annotations

import random

import msgspec

from core_world import ANY_PORT, CUSTOMER, POOL
from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    PriorityClass,
    Rule,
)
from toucanyard.core_events import (
    AppendSettled,
    AppendToLog,
    DispatchFinished,
    EndpointPollFailed,
    LinksChanged,
    LoadRead,
    LogExpired,
    LogRead,
    LogStateSeen,
    MessageRead,
    OrderEnded,
    PatchAnswered,
    PatchSubmitted,
    Reply,
    RequestArrived,
    SendMessage,
    StateRead,
    TickPassed,
    VmsRead,
)
from toucanyard.load_view import LoadReport
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
    RequestId,
)
from toucanyard.node_core import CoreAction, CoreEvent, NodeCore
from toucanyard.options import ListenOptions, Options, PlatformOptions
from toucanyard.order_messages import OrderOutcome, ReadState, SendOrder
from toucanyard.patches import Patch, Put
from toucanyard.platform_log import AppendResult, LogRecord
from toucanyard.requests import (
    Dispatch,
    DispatchEnding,
    ModelTarget,
    Outcome,
    Repeatability,
    Request,
)
from toucanyard.vm_view import Vm, VmState

from .order_fakes import FakeEngine

HOME = "home"
"""The region with the log and the VM list."""
AWAY = "away"
LATENCY_MS = 20.0
POLL_MS = 500.0
REQUEST_MS = 1_000.0
VM_LIST_MS = 1_000.0
PATCH_MS = 4_000.0
PAGE = 100
_APPEND_FAILURES = (
    (AppendResult.UNKNOWN, True),
    (AppendResult.UNKNOWN, False),
    (AppendResult.REFUSED, False),
)


class Sent(msgspec.Struct, frozen=True):
    """One dispatch ordered by a node."""

    at_ms: float
    node: NodeName
    region: str
    endpoint: EndpointName


class FleetNode:
    """One node: its core, its region and the state of its simulated tasks."""

    def __init__(self, name: str, region: str, incarnation: str) -> None:
        listen = ListenOptions(ANY_PORT, ANY_PORT, ANY_PORT)
        platform = PlatformOptions(ANY_PORT, ANY_PORT)
        options = Options(
            NodeName(name), DomainName(region), listen, platform, ("secret",)
        )
        self.region = region
        self.name = NodeName(name)
        rng = random.Random(name + incarnation)
        self.core = NodeCore(options, Incarnation(incarnation), rng)
        self.identity = NodeId(self.name, Incarnation(incarnation))
        self.read = 0
        self.is_up: bool | None = None
        self.read_done_ms = 0.0
        self.append_free_ms = 0.0
        self.waiting: list[AppendToLog] = []
        self.linked: frozenset[NodeId] = frozenset()
        self.requests = 0
        self.next_poll_ms = 0.0
        self.next_request_ms = 0.0
        self.next_list_ms = 0.0


class FleetWorld:
    """Drives all nodes in time steps; a partition separates the two regions."""

    def __init__(self, home: int, away: int, engines: int, seed: int = 0) -> None:
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self._number = 0
        self.is_partitioned = False
        self.retention_ms = float("inf")
        self.log_delay_range_ms = (LATENCY_MS, LATENCY_MS)
        self.bad_share = 0.0
        self.records: list[LogRecord] = []
        self.oldest = 0
        self.events: list[tuple[float, int, FleetNode, CoreEvent]] = []
        self.appends: list[tuple[float, str]] = []
        self.bases: dict[str, int] = {}
        self.answers: dict[str, PatchAnswered] = {}
        self.sent: list[Sent] = []
        self.leaving: set[EndpointName] = set()
        self.highest: dict[NodeName, int] = {}
        self.most_holders = 0
        self.endpoints = [
            Endpoint(
                EndpointName(f"{region}-{n}"),
                Address(f"10.0.{int(region == AWAY)}.{n}:80"),
                DomainName(region),
            )
            for region in (HOME, AWAY)
            for n in range(engines)
        ]
        self.engines = {
            each.name: FakeEngine(self, checks_fence=True) for each in self.endpoints
        }
        names = [(f"{HOME}-node-{n}", HOME) for n in range(home)]
        names += [(f"{AWAY}-node-{n}", AWAY) for n in range(away)]
        self.nodes = [FleetNode(name, region, "a") for name, region in names]

    def is_separated(self, region: str, other: str) -> bool:
        return self.is_partitioned and region != other

    def submit(self, node: FleetNode, patch_id: str, put: Put) -> None:
        """Let an operator submit a patch on the version in force on a node."""
        base = self.bases[patch_id] = node.core.configuration.version
        patch = Patch(patch_id, base, "maria", put)
        self.handle(node, PatchSubmitted(patch, self.now_ms + PATCH_MS))

    def build_put(self, weights: str) -> Put:
        pool = Pool(POOL, "m", weights, tuple(self.endpoints))
        return Put(
            customers=(Customer(CUSTOMER, ("0" * 64,)),),
            pools=(pool,),
            rules=(Rule("m", POOL),),
        )

    def restart(self, number: int) -> None:
        """Replace a node by an empty one of the same name."""
        old = self.nodes[number]
        fresh = FleetNode(old.name, old.region, old.identity.incarnation + "a")
        self.nodes[number] = fresh
        self.events = [each for each in self.events if each[2] is not old]

    def run(self, duration_ms: float, step_ms: float = 100.0) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self._step_platform()
            for engine in self.engines.values():
                engine.step()
            for node in self.nodes:
                self._step_node(node)
            self._measure()

    def handle(self, node: FleetNode, event: CoreEvent) -> None:
        for action in node.core.handle(event, self.now_ms):
            self._carry_out(node, action)

    def find_versions(self) -> set[tuple[int, int]]:
        """Return the versions in force, each with its digest."""
        return {
            (node.core.configuration.version, node.core.log.digest)
            for node in self.nodes
        }

    def find_current(self) -> Configuration:
        return max(
            (node.core.configuration for node in self.nodes),
            key=lambda each: each.version,
        )

    def _step_platform(self) -> None:
        due = [each for each in self.appends if each[0] <= self.now_ms]
        self.appends = [each for each in self.appends if each[0] > self.now_ms]
        for _, text in sorted(due, key=lambda each: each[0]):
            self.records.append(LogRecord(len(self.records), self.now_ms, text))
        while (
            self.oldest < len(self.records)
            and self.records[self.oldest].at_ms < self.now_ms - self.retention_ms
        ):
            self.oldest += 1

    def _step_node(self, node: FleetNode) -> None:
        self._link(node)
        due = [each for each in self.events if each[0] <= self.now_ms]
        mine = sorted(
            (each for each in due if each[2] is node), key=lambda each: each[:2]
        )
        if mine:
            taken = {each[1] for each in mine}
            self.events = [each for each in self.events if each[1] not in taken]
        for _, _, _, event in mine:
            self.handle(node, event)
        self._read_log(node)
        self._write_log(node)
        if self.now_ms >= node.next_list_ms and not self.is_separated(
            node.region, HOME
        ):
            node.next_list_ms = self.now_ms + VM_LIST_MS
            self.handle(node, VmsRead(self._build_list()))
        if self.now_ms >= node.next_poll_ms:
            node.next_poll_ms = self.now_ms + POLL_MS
            self._poll(node)
        if self.now_ms >= node.next_request_ms:
            node.next_request_ms = self.now_ms + REQUEST_MS
            self._request(node)
        self.handle(node, TickPassed())

    def _link(self, node: FleetNode) -> None:
        linked = frozenset(
            other.identity
            for other in self.nodes
            if other is not node and not self.is_separated(node.region, other.region)
        )
        if linked != node.linked:
            node.linked = linked
            peers = tuple(sorted(linked, key=lambda peer: peer.node))
            self.handle(node, LinksChanged(peers))

    def _build_list(self) -> tuple[Vm, ...]:
        nodes = tuple(Vm(node.name, DomainName(node.region)) for node in self.nodes)
        endpoints = tuple(
            Vm(
                f"vm-{each.name}",
                each.domain,
                VmState.LEAVING if each.name in self.leaving else VmState.LIVE,
                "endpoint",
                endpoint=each.address,
            )
            for each in self.endpoints
        )
        return nodes + endpoints

    def _poll(self, node: FleetNode) -> None:
        for each in node.core.find_watched():
            if self.is_separated(node.region, each.domain):
                self.handle(node, EndpointPollFailed(each.name))
                continue
            state = self.engines[each.name].state
            report = LoadReport(
                state.incarnation, 0, 0.0, weights_version=state.weights_version
            )
            self.handle(node, LoadRead(each.name, report, self.now_ms))

    def _request(self, node: FleetNode) -> None:
        node.requests += 1
        request_id = RequestId(f"{node.name}-{node.requests}")
        target = ModelTarget(POOL, "m", "", "", (node.requests % 7, 2), 800, 16)
        request = Request(
            request_id,
            CUSTOMER,
            PriorityClass.CHAT,
            target,
            Repeatability.REPEATABLE,
            self.now_ms,
            self.now_ms + 10_000,
            node.core.configuration.version,
        )
        if node.core.configuration.version > 0:
            self.handle(node, RequestArrived(request))

    def _read_log(self, node: FleetNode) -> None:
        if self.is_separated(node.region, HOME):
            if node.is_up is not False:
                self.handle(node, LogStateSeen(False))
            node.is_up = False
            return
        if self.now_ms < node.read_done_ms:
            return
        if node.read < self.oldest:
            node.read = self.oldest
            self.handle(node, LogExpired(self.oldest))
        start, head = node.read, len(self.records)
        node.read = min(start + PAGE, head)
        records = tuple(self.records[start : node.read])
        node.read_done_ms = self.now_ms + self._find_delay_ms()
        read = LogRead(start, node.read, records, head, self.now_ms)
        self._schedule(node, node.read_done_ms, read)
        if node.read == head and not node.is_up:
            node.is_up = True
            self._schedule(node, node.read_done_ms, LogStateSeen(True))

    def _find_delay_ms(self) -> float:
        return self.rng.uniform(*self.log_delay_range_ms)

    def _schedule(self, node: FleetNode, due_ms: float, event: CoreEvent) -> None:
        self._number += 1
        self.events.append((due_ms, self._number, node, event))

    def _carry_out(self, node: FleetNode, action: CoreAction) -> None:
        match action:
            case AppendToLog():
                node.waiting.append(action)
            case SendMessage(node=name, message=message):
                self._send(node, name, MessageRead(node.identity, message))
            case Reply(verdict=Dispatch() as dispatch):
                self._dispatch(node, dispatch)
            case PatchAnswered(patch_id=patch_id):
                self.answers[patch_id] = action
            case ReadState(endpoint=endpoint):
                if not self._is_unreachable(node, endpoint):
                    state = self.engines[endpoint].state
                    self.handle(node, StateRead(endpoint, state, self.now_ms))
            case SendOrder(endpoint=endpoint):
                outcome = OrderOutcome.LOST
                if not self._is_unreachable(node, endpoint):
                    outcome = self.engines[endpoint].take(action.order)
                self._schedule(node, self.now_ms, OrderEnded(action, outcome))
            case _:
                pass

    def _is_unreachable(self, node: FleetNode, endpoint: EndpointName) -> bool:
        return self.is_separated(node.region, endpoint.partition("-")[0])

    def _write_log(self, node: FleetNode) -> None:
        """Append the waiting records as one batch, once the last append is done."""
        if not node.waiting or self.now_ms < node.append_free_ms:
            return
        batch, node.waiting = node.waiting, []
        ids = tuple(each.record_id for each in batch)
        if self.is_separated(node.region, HOME):
            self._schedule(node, self.now_ms, AppendSettled(ids, AppendResult.REFUSED))
            return
        node.append_free_ms = done_ms = self.now_ms + self._find_delay_ms()
        result, has_effect = AppendResult.DONE, True
        if self.rng.random() < self.bad_share:
            result, has_effect = self.rng.choice(_APPEND_FAILURES)
        if has_effect:
            self.appends += [(done_ms, each.text) for each in batch]
        self._schedule(node, done_ms, AppendSettled(ids, result))

    def _send(self, node: FleetNode, name: NodeName, event: MessageRead) -> None:
        for other in self.nodes:
            is_separated = self.is_separated(node.region, other.region)
            if other.name == name and not is_separated:
                self._schedule(other, self.now_ms + LATENCY_MS, event)

    def _dispatch(self, node: FleetNode, dispatch: Dispatch) -> None:
        endpoint = dispatch.endpoint
        self.sent.append(Sent(self.now_ms, node.name, node.region, endpoint))
        ending = DispatchEnding.COMPLETED
        if self._is_unreachable(node, endpoint):
            ending = DispatchEnding.NOT_SENT
        outcome = Outcome(dispatch.request_id, endpoint, ending, duration_ms=50.0)
        self._schedule(node, self.now_ms, DispatchFinished(outcome))

    def _measure(self) -> None:
        for node in self.nodes:
            version = node.core.configuration.version
            highest = self.highest.get(node.name, 0)
            # A node that has just started has no version until it knows the newest.
            assert version >= highest or version == 0, (node.name, version, highest)
            self.highest[node.name] = max(highest, version)
        holders = sum(
            bool(node.core.order_runner.leases.find_held(self.now_ms))
            for node in self.nodes
        )
        self.most_holders = max(self.most_holders, holders)


def find_accepted(world: FleetWorld) -> dict[int, str]:
    """Return the patch of each version, checking that all nodes agree."""
    accepted: dict[int, str] = {}
    for node in world.nodes:
        for entry in node.core.log.history:
            known = accepted.setdefault(entry.version, entry.patch_id)
            assert known == entry.patch_id
    return accepted


def check_answers(world: FleetWorld) -> None:
    """Check that each operator got a correct answer."""
    accepted = find_accepted(world)
    for patch_id, base in world.bases.items():
        answer = world.answers[patch_id]
        if answer.error is None:
            assert answer.version == base + 1
            assert accepted[answer.version] == patch_id
        elif answer.error != "outcome_unknown":
            assert patch_id not in accepted.values()
