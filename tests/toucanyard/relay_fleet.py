"""Simulate the decision logic of a fleet in one process, with its own clock."""

from __future__ import annotations

import random

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.link_messages import (
    NodeStatus,
    decode_link_message,
    encode_link_message,
)
from toucanyard.names import Address, DomainName, Incarnation, NodeId, NodeName
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import (
    LinkMessageRead,
    LogEntry,
    PeersLinked,
    RelayEvent,
    SendToPeer,
    TickPassed,
    TopicRead,
)
from toucanyard.relay_options import RelayOptions

from .relay_examples import LISTEN, OPTIONS, build_table

FACTS: dict[bytes, object] = {}


def put(fact: object) -> bytes:
    value = str(len(FACTS)).encode()
    FACTS[value] = fact
    return value


def decode(_: Topic, __: str, value: bytes) -> object | None:
    return FACTS.get(value)


class Fleet:
    """Nodes that exchange messages; the store may serve only some of them."""

    def __init__(self, *names: str) -> None:
        self.cores: dict[NodeName, RelayCore] = {}
        for number, name in enumerate(names):
            self.add(NodeName(name), number)
        self.now_ms = 0.0
        self.isolated_nodes: set[str] = set()
        self.link()

    def add(
        self,
        name: NodeName,
        number: int,
        domain: DomainName = OPTIONS.domain,
    ) -> None:
        listen = type(LISTEN)(
            callers=Address(f"10.0.0.{number}:1"),
            readiness=LISTEN.readiness,
            locator=LISTEN.locator,
            peers=Address(f"10.0.0.{number}:4"),
            metrics=LISTEN.metrics,
        )
        options = self.build_options(RelayOptions(name, domain, listen, LISTEN.callers))
        incarnation = f"i {self.now_ms}" if name in self.cores else "i"
        identity = NodeId(name, Incarnation(incarnation))
        core = RelayCore(options, identity, decode, random.Random(number))
        self.cores[name] = core

    def build_options(self, options: RelayOptions) -> RelayOptions:
        return options

    def link(self) -> None:
        for name, core in self.cores.items():
            peers = tuple(
                other.identity
                for other in self.cores.values()
                if other is not core and name not in self.isolated_nodes
            )
            self.handle(name, PeersLinked(peers))

    def handle(self, name: NodeName, event: RelayEvent) -> None:
        core = self.cores[name]
        for action in core.handle(event, self.now_ms):
            if isinstance(action, SendToPeer) and self.isolated_nodes.isdisjoint(
                (name, action.node)
            ):
                message = decode_link_message(encode_link_message(action.message))
                self.handle(action.node, LinkMessageRead(core.identity, message))

    def read(
        self, name: str, topic: Topic, *records: KeyedRecord, is_whole: bool = False
    ) -> None:
        end = max((each.offset + 1 for each in records), default=0)
        event = TopicRead(topic, records, end, is_whole, self.now_ms)
        self.handle(NodeName(name), event)

    def confirm(self, name: str, topic: Topic) -> None:
        """Deliver a store read without new records to a node."""
        end = self.core(name).exchange.views[topic].end
        event = TopicRead(topic, (), end.offset, False, self.now_ms, era=end.era)
        self.handle(NodeName(name), event)

    def run(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += 25.0
            for name in self.cores:
                self.handle(name, TickPassed())

    def core(self, name: str) -> RelayCore:
        return self.cores[NodeName(name)]


class PlannedFleet(Fleet):
    """A fleet whose nodes choose their links, as real nodes do."""

    DIAL_MS = 250.0

    def __init__(self, domains: int, nodes_each: int) -> None:
        super().__init__()
        for number in range(domains * nodes_each):
            domain = DomainName(f"d{number % domains}")
            self.add(NodeName(f"n{number}"), number, domain)
        self.dead: set[NodeName] = set()
        self.log_entries: list[tuple[NodeName, LogEntry]] = []
        self.sent_bytes: dict[NodeName, int] = {}
        self.sent_statuses = 0
        self._linked: dict[NodeName, set[NodeName]] = {}
        records = [
            KeyedRecord(name, number, put(core.own_record))
            for number, (name, core) in enumerate(self.cores.items())
        ]
        for name in self.cores:
            self.read(name, Topic.NODES, *records)
            table = KeyedRecord("config", 0, put(build_table()))
            self.read(name, Topic.OPERATOR, table)

    def link(self) -> None:
        """Link each pair of nodes of which at least one wants the link."""
        found = self.find_wanted()
        alive = [each for each in self.cores.items() if each[0] not in self.dead]
        for name, _ in alive:
            if found[name] != self._linked.get(name):
                peers = sorted(found[name])
                linked = PeersLinked(tuple(self.cores[each].identity for each in peers))
                self.handle(name, linked)
        self._linked = found

    def find_wanted(self) -> dict[NodeName, set[NodeName]]:
        """Return the links that at least one of their nodes wants."""
        found: dict[NodeName, set[NodeName]] = {name: set() for name in self.cores}
        alive = [each for each in self.cores.items() if each[0] not in self.dead]
        for name, core in alive:
            for vm in core.node_directory.find_peers(self.now_ms):
                other = NodeName(vm.name)
                if other not in self.dead:
                    found[name].add(other)
                    found[other].add(name)
        return found

    def handle(self, name: NodeName, event: RelayEvent) -> None:
        if name in self.dead:
            return
        core = self.cores[name]
        for action in core.handle(event, self.now_ms):
            if isinstance(action, LogEntry):
                self.log_entries.append((name, action))
            if isinstance(action, SendToPeer):
                data = encode_link_message(action.message)
                self.sent_statuses += isinstance(action.message, NodeStatus)
                self.sent_bytes[name] = self.sent_bytes.get(name, 0) + len(data)
                message = decode_link_message(data)
                self.handle(action.node, LinkMessageRead(core.identity, message))

    def run(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            if self.now_ms % self.DIAL_MS == 0:
                self.link()
            super().run(25.0)

    def find_hubs(self) -> list[NodeName]:
        """Return the nodes that consider themselves hubs."""
        return [
            name
            for name, core in self.cores.items()
            if name not in self.dead and core.node_directory.plan.is_hub()
        ]
