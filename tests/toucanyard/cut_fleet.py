"""Simulate a fleet in which some nodes can open no connections to any replica."""

from __future__ import annotations

import enum
from collections.abc import Collection

from toucanyard.crash_detector import Reachability
from toucanyard.names import NodeName
from toucanyard.relay_events import (
    ConnectionProbed,
    DispatchEnded,
    ProbeConnection,
    ReadReplicaState,
    ReplicaStateRead,
)
from toucanyard.relay_requests import (
    RelayDispatch,
    RelayOutcome,
)
from toucanyard.requests import DispatchEnding

from .crash_fleet import LATENCY_MS, Call
from .statement_fleet import StatementFleet

REPORT_TIMEOUT_MS = 500.0
PROBE_TIMEOUT_MS = 150.0


class Cut(enum.StrEnum):
    """How connections of a cut node to replicas fail."""

    HANG = "hang"
    """New connections hang; open ones live on."""
    REFUSE = "refuse"
    """New connections are refused; open ones live on."""
    RESET = "reset"
    """Open connections are reset, and new ones refused."""


class CutFleet(StatementFleet):
    """Nodes, some of which are cut off from all replicas but from nothing else."""

    def __init__(self, domains: int, nodes_each: int) -> None:
        self.cuts: dict[NodeName, Cut] = {}
        super().__init__(domains, nodes_each)

    def cut(self, names: Collection[NodeName], how: Cut) -> None:
        """Cut nodes off from all replicas."""
        self.cuts |= dict.fromkeys(names, how)
        if how is not Cut.RESET:
            return
        for engine in self.engines.values():
            for request_id, call in list(engine.calls.items()):
                if call.node in names:
                    del engine.calls[request_id]
                    self.lose(call, engine.name)

    def reconnect(self) -> None:
        """Let all nodes reach all replicas again."""
        self.cuts.clear()

    def _deliver_call(self, call: Call, dispatch: RelayDispatch) -> None:
        how = self.cuts.get(call.node)
        if how is None:
            super()._deliver_call(call, dispatch)
            return
        is_refused = how is not Cut.HANG
        outcome = RelayOutcome(
            call.request.request_id,
            dispatch.replica,
            DispatchEnding.NOT_SENT,
            text="cut",
            is_dead=True,
            has_no_listener=is_refused,
        )
        delay_ms = 0.0 if is_refused else dispatch.connect_ms
        self.after(delay_ms, lambda: self.handle(call.node, DispatchEnded(outcome)))

    def _probe(self, node: NodeName, probe: ProbeConnection) -> None:
        how = self.cuts.get(node)
        if how is None:
            super()._probe(node, probe)
            return
        probed = ConnectionProbed(probe.replica, False, self.now_ms)
        delay_ms = PROBE_TIMEOUT_MS if how is Cut.HANG else LATENCY_MS
        self.after(delay_ms, lambda: self.handle(node, probed))

    def _report(self, node: NodeName, read: ReadReplicaState, asked_ms: float) -> None:
        how = self.cuts.get(node)
        if how is None:
            super()._report(node, read, asked_ms)
            return
        is_hanging = how is Cut.HANG
        reach = Reachability.NO_ANSWER if is_hanging else Reachability.NO_LISTENER
        answer = ReplicaStateRead(read.replica, None, asked_ms, reach)
        delay_ms = REPORT_TIMEOUT_MS if is_hanging else LATENCY_MS
        self.after(delay_ms, lambda: self.handle(node, answer))


def compute_served_share(
    calls: Collection[Call], nodes: Collection[NodeName], since_ms: float
) -> float:
    """Return the share of the calls at some nodes that were served."""
    chosen = [
        call
        for call in calls
        if call.node in nodes and call.request.arrived_ms >= since_ms
    ]
    return sum(call.ending == "completed" for call in chosen) / len(chosen)
