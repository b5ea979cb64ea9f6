"""The state machine of `key_machine`, with planned stops and key handovers."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from key_machine import INDEXES, NODES, KeysUnderFaults
from key_world import NAMES, Node
from toucanyard.issued_keys import parse_issued_key
from toucanyard.names import NodeName
from toucanyard.requests import DispatchEnding

ROUNDS = st.integers(0, 6)


class KeysUnderStops(KeysUnderFaults):
    """Key handovers combined with all other faults.

    Handover messages are delayed, lost, duplicated and reordered like all others,
    nodes pause between their steps, and a kill or the time limit ends a handover early.
    """

    @initialize(
        max_keys=st.sampled_from((1_000, 1_000, 1_000, 2)),
        rounds=st.none() | ROUNDS,
        is_announced=st.booleans(),
    )
    def start(
        self, max_keys: int, rounds: int | None = None, is_announced: bool = False
    ) -> None:
        """Start most runs with a planned stop, since few would reach one otherwise."""
        self.begin(max_keys)
        if rounds is not None:
            self.stop_now(NAMES[0], 0, rounds, is_announced)

    @rule(name=NODES)
    def begin_stop(self, name: NodeName) -> None:
        """Begin a handover, which other rules may pause, disturb or end by a kill."""
        self.world.begin_stop(name)

    @precondition(lambda self: self.world.keys)
    @rule(name=NODES, index=INDEXES, rounds=ROUNDS, is_announced=st.booleans())
    def stop_after_run(
        self, name: NodeName, index: int, rounds: int, is_announced: bool
    ) -> None:
        self.stop_now(name, index, rounds, is_announced)

    @rule(name=NODES, rounds=ROUNDS)
    def stop_others(self, name: NodeName, rounds: int) -> None:
        """Stop all nodes but one at once: issuers, backup nodes and holders alike."""
        others = [node for node in self.world.live() if node.identity.node != name]
        for node in others:
            self.world.begin_stop(node.identity.node)
        for _ in range(rounds):
            self.world.run_rounds(1, None)
            self.world.advance(100)
        for node in others:
            self.kill_now(node)

    def stop_now(
        self, name: NodeName, index: int, rounds: int, is_announced: bool
    ) -> None:
        """Stop a node at any point of its handover, and retry its keys elsewhere.

        It has answered one key and is still running another.
        """
        answered = self.world.keys[index % len(self.world.keys)]
        running = self.world.keys[(index + 1) % len(self.world.keys)]
        issued = parse_issued_key(answered.text)
        issuer_node = self.world.nodes[name if issued is None else issued.issuer.node]
        if issuer_node is None:
            return
        self.world.send(issuer_node, answered, b"one", declares_age=True)
        self.world.run_rounds(3, DispatchEnding.COMPLETED)
        self.world.send(issuer_node, running, b"one", declares_age=True)
        self.world.run_rounds(3, None)
        self.world.begin_stop(issuer_node.identity.node)
        for _ in range(rounds):
            self.world.run_rounds(1, None)
            self.world.advance(100)
        self.kill_now(issuer_node)
        if is_announced:
            self.restart_now(issuer_node.identity.node)
        for node in self.world.live():
            self.world.send(node, answered, b"two", declares_age=True)
            self.world.send(node, answered, b"one", declares_age=True)
            self.world.send(node, running, b"one", declares_age=True)
        self.world.run_rounds(2, None)
        self.world.advance(400)
        self.world.run_rounds(2, None)

    def kill_now(self, node: Node) -> None:
        self.dead.append(node)
        self.world.kill(node.identity.node)

    def restart_now(self, name: NodeName) -> None:
        self.world.start(name)
        self.world.send_views()
