"""The Hypothesis state machine that tests the at-most-once decision."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from key_world import CUSTOMERS, NAMES, WINDOW_MS, Key, Node, World
from toucanyard.claim_events import Ticked
from toucanyard.issued_keys import parse_issued_key
from toucanyard.names import CustomerName, NodeName
from toucanyard.platform_log import (
    AppendResult,
)
from toucanyard.requests import DispatchEnding

INDEXES = st.integers(0, 3)
NODES = st.sampled_from(NAMES)
DIGESTS = st.sampled_from((b"one", b"one", b"one", b"two"))
ENDINGS = st.sampled_from(
    (DispatchEnding.COMPLETED, DispatchEnding.LOST, DispatchEnding.CANCELLED)
)


class KeysUnderFaults(RuleBasedStateMachine):
    """Attempts of a few keys on three nodes while everything around them fails.

    Callers see refusals, replays and lost connections. A node processes events and
    carries out actions only when a rule says so, hence it may pause between any two
    steps. Messages and appends are delayed, lost, duplicated or reordered; nodes crash
    and restart; membership views differ.
    """

    @initialize(max_keys=st.sampled_from((1_000, 1_000, 1_000, 2)))
    def start(self, max_keys: int) -> None:
        self.begin(max_keys)

    def begin(self, max_keys: int) -> None:
        self.world = World(max_keys)
        self.world.run_rounds(3, None)
        self.dead: list[Node] = []
        self.make_key(NAMES[0], True, CUSTOMERS[0])
        self.make_key(NAMES[0], False, CUSTOMERS[0])

    @rule(name=NODES, is_issued=st.booleans(), customer=st.sampled_from(CUSTOMERS))
    def make_key(self, name: NodeName, is_issued: bool, customer: CustomerName) -> None:
        node = self.world.nodes[name]
        text = f"k{len(self.world.keys) % 2}"
        if is_issued and node is not None:
            text = node.core.issue_prefix(node.now(self.world.now_ms)) + "mine"
        known = [(key.customer, key.text) for key in self.world.keys]
        if (customer, text) not in known and len(known) < 3:
            self.world.keys.append(Key(customer, text))

    @precondition(lambda self: self.world.keys)
    @rule(name=NODES, index=INDEXES, digest=DIGESTS, declares_age=st.booleans())
    def send(
        self, name: NodeName, index: int, digest: bytes, declares_age: bool
    ) -> None:
        node = self.world.nodes[name]
        key = self.world.keys[index % len(self.world.keys)]
        if node is not None:
            self.world.send(node, key, digest, declares_age)

    @precondition(lambda self: self.world.keys)
    @rule(index=INDEXES, declares_age=st.booleans())
    def send_to_issuer(self, index: int, declares_age: bool) -> None:
        """Send a key to the node that issued it, and run that node until idle."""
        key = self.world.keys[index % len(self.world.keys)]
        issued = parse_issued_key(key.text)
        node = None if issued is None else self.world.nodes[issued.issuer.node]
        if node is not None:
            self.world.send(node, key, b"one", declares_age)
            self.world.run_node(node)

    @precondition(lambda self: self.world.keys)
    @rule(index=INDEXES, rounds=st.integers(1, 3))
    def pause_issuer(self, index: int, rounds: int) -> None:
        """Pause an issuer before it processes an attempt, while its caller retries."""
        world = self.world
        key = world.keys[index % len(world.keys)]
        issued = parse_issued_key(key.text)
        issuer_node = None if issued is None else world.nodes[issued.issuer.node]
        if issuer_node is None:
            return
        world.send(issuer_node, key, b"one", declares_age=True)
        others = [node for node in world.live() if node is not issuer_node]
        for node in others:
            world.send(node, key, b"one", declares_age=True)
        for _ in range(rounds):
            for node in others:
                world.run_node(node)
            world.deliver_all()
            world.advance(200)
        world.run_rounds(2, None)

    @rule(name=NODES, index=INDEXES, is_retried=st.booleans())
    def claim_and_leave(self, name: NodeName, index: int, is_retried: bool) -> None:
        """Disconnect a caller while the claim of its key is pending."""
        node = self.world.nodes[name]
        key = self.world.keys[index % len(self.world.keys)]
        if node is not None:
            self.world.send(node, key, b"one", declares_age=True)
            self.world.run_node(node)
            self.world.leave(node, len(node.waiting) - 1)
            self.world.run_node(node)
            if is_retried:
                self.world.send(node, key, b"one", declares_age=True)
                self.world.run_node(node)
                self.world.run_rounds(3, None)

    @precondition(lambda self: self.world.keys)
    @rule(index=INDEXES, rounds=st.integers(0, 3))
    def storm(self, index: int, rounds: int) -> None:
        """Retry one key on every node at once."""
        key = self.world.keys[index % len(self.world.keys)]
        for node in self.world.live():
            self.world.send(node, key, b"one", declares_age=True)
            if rounds == 0:
                self.world.run_node(node)
        self.world.run_rounds(rounds, None)
        if rounds == 0:
            self.commit_in_turn()

    @precondition(lambda self: self.world.keys)
    @rule(name=NODES, other=NODES, index=INDEXES)
    def reuse(self, name: NodeName, other: NodeName, index: int) -> None:
        """Use a key again after its window, which ends on one node before others."""
        world = self.world
        key = world.keys[index % len(world.keys)]
        world.run_rounds(3, DispatchEnding.COMPLETED)
        world.advance(70_000)
        first, second = world.nodes[name], world.nodes[other]
        if first is None or second is None:
            return
        world.read(first)
        first.inbox.append(Ticked())
        world.run_node(first)
        for node in (first, second):
            world.send(node, key, b"one", declares_age=False)
            world.run_rounds(3, DispatchEnding.COMPLETED)
            world.advance(50)

    @precondition(lambda self: self.world.keys)
    @rule(
        name=NODES,
        other=NODES,
        index=INDEXES,
        is_left=st.booleans(),
        is_read=st.booleans(),
    )
    def reuse_behind(
        self, name: NodeName, other: NodeName, index: int, is_left: bool, is_read: bool
    ) -> None:
        """Use a key again while a node that claimed it or holds a claim is paused.

        Its first caller may have left, so that the claim was abandoned. The paused node
        resumes and gets the retry, before or after it has read the log.
        """
        world = self.world
        key = world.keys[index % len(world.keys)]
        behind, first = world.nodes[name], world.nodes[other]
        if behind is None or first is None or behind is first:
            return
        world.send(behind, key, b"one", declares_age=True)
        world.run_node(behind)
        if is_left:
            world.leave(behind, len(behind.waiting) - 1)
            world.commit_all()
            world.read(behind)
            world.run_node(behind)
        world.commit_all()
        world.read(first)
        world.run_node(first)
        world.advance(70_000)
        world.read(first)
        first.inbox.append(Ticked())
        world.run_node(first)
        world.send(first, key, b"two", declares_age=False)
        for _ in range(2):
            world.run_node(first)
            world.commit_all()
            world.read(first)
        world.run_node(first)
        if is_read:
            world.read(behind)
        world.run_node(behind)
        world.send(behind, key, b"two", declares_age=False)
        world.run_rounds(2, DispatchEnding.COMPLETED)

    @rule(name=NODES, count=st.integers(1, 4))
    def step(self, name: NodeName, count: int) -> None:
        node = self.world.nodes[name]
        for _ in range(count if node is not None else 0):
            assert node is not None
            self.world.step(node)

    @rule(name=NODES, count=st.integers(1, 4), is_sent=st.booleans())
    def act(self, name: NodeName, count: int, is_sent: bool) -> None:
        node = self.world.nodes[name]
        for _ in range(count if node is not None else 0):
            assert node is not None
            self.world.act(node, is_sent)

    @rule(name=NODES, ending=ENDINGS)
    def end_dispatch(self, name: NodeName, ending: DispatchEnding) -> None:
        node = self.world.nodes[name]
        if node is not None:
            self.world.end_dispatch(node, ending)

    @precondition(lambda self: self.world.appends)
    @rule(index=INDEXES, how=st.sampled_from(("done", "lost", "refused", "late")))
    def settle_append(self, index: int, how: str) -> None:
        world = self.world
        append = world.appends[index % len(world.appends)]
        if how == "late":
            # The node gets an unknown result; the append takes effect later.
            world.report_append(append, AppendResult.UNKNOWN)
            return
        world.appends.remove(append)
        if how != "refused" or append.is_announced:
            world.commit(append.text)
        if how == "done":
            world.report_append(append, AppendResult.DONE)
        elif not append.is_announced:
            result = AppendResult.UNKNOWN if how == "lost" else AppendResult.REFUSED
            world.report_append(append, result)

    @rule(name=NODES, overlap=st.integers(0, 3))
    def read_log(self, name: NodeName, overlap: int) -> None:
        node = self.world.nodes[name]
        if node is not None:
            self.world.read(node, overlap)

    @precondition(lambda self: self.world.network)
    @rule(index=INDEXES, how=st.sampled_from(("once", "once", "twice", "never")))
    def deliver(self, index: int, how: str) -> None:
        network = self.world.network
        message = network[index % len(network)]
        if how != "twice":
            network.remove(message)
        if how != "never":
            self.world.deliver(message)

    @rule(name=NODES, index=INDEXES)
    def leave(self, name: NodeName, index: int) -> None:
        node = self.world.nodes[name]
        if node is not None:
            self.world.leave(node, index)

    @rule(name=NODES)
    def run_node(self, name: NodeName) -> None:
        node = self.world.nodes[name]
        if node is not None:
            self.world.run_node(node)

    @rule()
    def commit_all(self) -> None:
        self.world.commit_all()

    @rule()
    def commit_in_turn(self) -> None:
        """Let each node act on its own append before the next one takes effect."""
        while self.world.appends and self.world.is_log_up:
            append = self.world.appends.pop(0)
            self.world.commit(append.text)
            node = self.world.nodes[append.node.node]
            if node is not None:
                self.world.read(node)
                self.world.run_node(node)

    @rule(name=NODES, index=INDEXES)
    def pause_past_deadline(self, name: NodeName, index: int) -> None:
        """Pause a node past its deadlines, after it has read the log."""
        node = self.world.nodes[name]
        key = self.world.keys[index % len(self.world.keys)]
        if node is not None:
            self.world.send(node, key, b"one", declares_age=True)
            self.world.run_node(node)
            self.world.commit_all()
            self.world.read(node)
            self.world.advance(1_200)
            self.world.run_node(node)

    @rule()
    def deliver_all(self) -> None:
        self.world.deliver_all()

    @rule(rounds=st.integers(1, 3), ending=st.none() | ENDINGS)
    def run_rounds(self, rounds: int, ending: DispatchEnding | None) -> None:
        self.world.run_rounds(rounds, ending)

    @rule(ms=st.sampled_from((50, 400, 400, 1_200, 1_200, 6_000, 21_000, 70_000)))
    def advance(self, ms: int) -> None:
        self.world.advance(ms)

    @rule(ms=st.sampled_from((-70_000, 70_000)))
    def jump_log_clock(self, ms: int) -> None:
        """Make the log's clock, which timestamps every record, jump."""
        self.world.log_clock_offset_ms += ms
        self.world.advance(50)

    @rule(name=NODES)
    def kill(self, name: NodeName) -> None:
        node = self.world.nodes[name]
        if node is not None:
            self.dead.append(node)
            self.world.kill(node.identity.node)

    @precondition(lambda self: self.world.keys)
    @rule(name=NODES, index=INDEXES, is_announced=st.booleans())
    def kill_after_run(self, name: NodeName, index: int, is_announced: bool) -> None:
        """Kill a node while it runs a key; its caller retries on the others."""
        key = self.world.keys[index % len(self.world.keys)]
        issued = parse_issued_key(key.text)
        issuer_node = self.world.nodes[name if issued is None else issued.issuer.node]
        if issuer_node is None:
            return
        self.world.send(issuer_node, key, b"one", declares_age=True)
        self.world.run_rounds(3, None)
        self.kill(issuer_node.identity.node)
        if is_announced:
            self.restart(issuer_node.identity.node)
        for node in self.world.live():
            self.world.send(node, key, b"one", declares_age=True)
        self.world.advance(400)
        self.world.run_rounds(3, None)

    @rule(name=NODES)
    def restart(self, name: NodeName) -> None:
        if self.world.nodes[name] is None:
            self.world.start(name)
            self.world.send_views()

    @rule(name=NODES, is_stale=st.booleans(), index=INDEXES)
    def change_view(self, name: NodeName, is_stale: bool, index: int) -> None:
        """Send a node a view with dead incarnations or without some live ones."""
        node = self.world.nodes[name]
        if node is None:
            return
        seen = self.world.live()
        if is_stale and self.dead:
            seen = [self.dead[index % len(self.dead)], *seen]
        elif seen:
            seen = seen[index % len(seen) :]
        self.world.send_view(node, seen)

    @rule(is_up=st.sampled_from((True, True, False)))
    def switch_log(self, is_up: bool) -> None:
        self.world.set_log(is_up)

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        world = self.world
        for later_ms in (0, WINDOW_MS / 2, 2 * WINDOW_MS):
            world.heal()
            world.check_all_ended()
            world.advance(later_ms)
            world.run_rounds(1, DispatchEnding.COMPLETED)
            self.retry_everywhere()
        world.heal()
        world.check_all_ended()
        if world.max_keys > 2:
            self.check_fresh_keys_run()

    def retry_everywhere(self) -> None:
        for key in self.world.keys:
            for node in self.world.live():
                if key.attempts:
                    self.world.send(node, key, b"one", not key.is_issued())
                    self.world.send(node, key, b"two", not key.is_issued())

    def check_fresh_keys_run(self) -> None:
        """Fail if a healthy node can't run new keys of both kinds."""
        world = self.world
        for number, node in enumerate(world.live()):
            prefix = node.core.issue_prefix(node.now(world.now_ms))
            for text in (f"fresh{number}", prefix + "fresh"):
                key = Key(CUSTOMERS[0], text)
                world.keys.append(key)
                world.send(node, key, b"one", declares_age=True)
        world.heal()
        world.check_all_ended()
        for key in world.keys[-2 * len(world.live()) :]:
            assert len(key.executions) == 1, f"{key.text} {key.attempts}"
