"""Run the store readers and cores of many nodes against one in-memory store.

A silent store answers no new reads, and never answers those already pending, as if the
other end of their connections were gone. Such a read ends only by its timeout.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

import msgspec
import trio

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.log_position import LogPosition
from toucanyard.names import Address, DomainName, Incarnation, NodeId, NodeName
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import LinkMessageRead, PeersLinked, SendToPeer
from toucanyard.relay_options import RelayListen, RelayOptions
from toucanyard.routes import RouteTable
from toucanyard.target_weights import WantedWeights
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import (
    LeasePage,
    RecordsGoneError,
    StoreError,
    TopicPage,
)
from toucanyard_node.relay_store import StoreReader
from toucanyard_node.relay_task import BackgroundJob, RelayTask

READ_TIMEOUT_S: Final = 1.2
ANSWER_DELAY_S: Final = 0.004
LINK_DELAY_S: Final = 0.001
DIAL_INTERVAL_S: Final = 0.25
SAMPLE_INTERVAL_S: Final = 0.01
CONFIG: Final = "config"


class SharedStore:
    """In-memory topics that can stop answering some or all nodes."""

    def __init__(self) -> None:
        self.records: dict[Topic, list[KeyedRecord]] = {topic: [] for topic in Topic}
        self.silent_for: set[NodeName] = set()
        self.silent_topics: set[Topic] = set()
        self.is_refusing = False
        """Whether all reads, also pending ones, are refused at once."""
        self.reads: list[tuple[float, NodeName, Topic]] = []
        self.gone_reads: list[tuple[float, NodeName, Topic]] = []
        """Reads from past the end of a topic."""
        self.whole_reads: list[tuple[float, NodeName, Topic]] = []
        """Answered reads of all newest records."""
        self.era = 0
        self._copy: dict[Topic, list[KeyedRecord]] = {}
        self._grown = {topic: trio.Event() for topic in Topic}
        self._lost: dict[NodeName, int] = {}
        """How often all pending reads of a node were lost."""

    def append(self, topic: Topic, key: str, value: bytes | None) -> None:
        records = self.records[topic]
        records.append(KeyedRecord(key, len(records), value))
        self._grown[topic].set()
        self._grown[topic] = trio.Event()

    def stop_answering(self, names: Iterable[NodeName]) -> None:
        """Stop answering some nodes, for pending and for new reads."""
        wanted = set(names)
        self.silent_for |= wanted
        self.lose_reads(wanted)

    def lose_reads(self, names: Iterable[NodeName]) -> None:
        """Never answer the pending reads of some nodes."""
        for name in names:
            self._lost[name] = self._lost.get(name, 0) + 1

    def take_copy(self) -> None:
        """Take the copy from which the store can be restored."""
        self._copy = {topic: list(records) for topic, records in self.records.items()}

    def restore_copy(self) -> dict[Topic, list[KeyedRecord]]:
        """Replace all records by the copy's; return the records that are lost."""
        lost = {
            topic: records[len(self._copy[topic]) :]
            for topic, records in self.records.items()
        }
        self.records = {topic: list(records) for topic, records in self._copy.items()}
        self.era += 1
        return lost

    def refuse(self) -> None:
        """Refuse all reads from now on, and end those that are pending."""
        self.is_refusing = True
        for topic, event in list(self._grown.items()):
            event.set()
            self._grown[topic] = trio.Event()

    def restore(self) -> None:
        """Answer all nodes again."""
        self.is_refusing = False
        self.silent_for.clear()
        self.silent_topics.clear()

    def count_reads(self, since_s: float, until_s: float) -> int:
        return sum(since_s <= at_s < until_s for at_s, _, _ in self.reads)

    async def read(
        self, name: NodeName, topic: Topic, offset: int, wait_ms: float
    ) -> TopicPage:
        begun_s = trio.current_time()
        self.reads.append((begun_s, name, topic))
        lost = self._lost.get(name, 0)
        if self.is_refusing:
            await trio.sleep(ANSWER_DELAY_S)
            raise StoreError("refused", is_refused=True)
        if not self._is_silent(name, topic):
            if offset == len(self.records[topic]):
                with trio.move_on_after(wait_ms / 1000):
                    await self._grown[topic].wait()
            await trio.sleep(ANSWER_DELAY_S)
        if self.is_refusing:
            raise StoreError("refused", is_refused=True)
        if self._is_silent(name, topic) or lost != self._lost.get(name, 0):
            await trio.sleep_until(begun_s + READ_TIMEOUT_S + wait_ms / 1000)
            raise StoreError("no answer")
        self._check_offset(name, topic, offset)
        records = tuple(map(self._state_era, self.records[topic][offset:]))
        return TopicPage(records, offset + len(records), self.era)

    def find_newest(self, topic: Topic) -> tuple[KeyedRecord, ...]:
        """Return the newest record of each key that is not removed."""
        newest = {each.key: each for each in self.records[topic]}
        kept = [each for each in newest.values() if each.value is not None]
        return tuple(map(self._state_era, kept))

    def _state_era(self, record: KeyedRecord) -> KeyedRecord:
        return msgspec.structs.replace(record, era=self.era)

    def _check_offset(self, name: NodeName, topic: Topic, offset: int) -> None:
        """Raise RecordsGoneError if a read is from past the end."""
        if offset > len(self.records[topic]):
            self.gone_reads.append((trio.current_time(), name, topic))
            raise RecordsGoneError

    def _is_silent(self, name: NodeName, topic: Topic) -> bool:
        return name in self.silent_for or topic in self.silent_topics


class NodeStore:
    """The store as accessed by one node."""

    def __init__(self, name: NodeName, shared: SharedStore) -> None:
        self._name = name
        self._shared = shared

    @property
    def era(self) -> int:
        return self._shared.era

    async def read_newest(self, topic: Topic) -> TopicPage:
        page = await self._shared.read(self._name, topic, 0, 0.0)
        self._shared.whole_reads.append((trio.current_time(), self._name, topic))
        records = self._shared.find_newest(topic)
        return TopicPage(records, page.end, page.era)

    async def read_since(self, topic: Topic, offset: int, wait_ms: float) -> TopicPage:
        return await self._shared.read(self._name, topic, offset, wait_ms)

    async def append_node(self, record: NodeRecord) -> LogPosition:
        raise StoreError("not used")

    async def write_quarantine(self, request: QuarantinedRequest) -> LogPosition:
        raise StoreError("not used")

    async def erase_quarantine(self, fingerprint: str) -> LogPosition:
        raise StoreError("not used")

    async def read_leases(self, offset: int) -> LeasePage:
        raise StoreError("not used")

    async def append_lease(self, value: bytes, at: int) -> LogPosition:
        raise StoreError("not used")


class PollingNode:
    """A core, its task and its store reader."""

    def __init__(self, number: int, store: SharedStore) -> None:
        self.name = NodeName(f"n{number}")
        listen = RelayListen(
            Address(f"10.0.0.{number}:1"),
            Address(f"10.0.0.{number}:2"),
            Address(f"10.0.0.{number}:3"),
            Address(f"10.0.0.{number}:4"),
            Address(f"10.0.0.{number}:5"),
        )
        domain = DomainName(f"d{number % 3}")
        options = RelayOptions(self.name, domain, listen, Address("10.9.0.1:1"))
        identity = NodeId(self.name, Incarnation("i"))
        self.core = RelayCore(options, identity, decode, random.Random(number))
        send, self.messages = trio.open_memory_channel[SendToPeer](100_000)
        jobs, self._jobs = trio.open_memory_channel[BackgroundJob](100_000)
        self.task = RelayTask(self.core, send, jobs, RelayMetrics())
        self.reader = StoreReader(
            self.core,
            self.task.client,
            NodeStore(self.name, store),
            random.Random(-number),
        )

    @property
    def version(self) -> int:
        return self.core.index.table.version


class PollingFleet:
    """Linked nodes, their store, and the times at which versions took effect."""

    def __init__(self, count: int) -> None:
        self.store = SharedStore()
        self.nodes = [PollingNode(number, self.store) for number in range(count)]
        self.unlinked: set[NodeName] = set()
        """Nodes that cannot reach any other node."""
        self.in_force_s: dict[tuple[NodeName, int], float] = {}
        self.published_s: dict[int, float] = {}
        self._by_name = {node.name: node for node in self.nodes}
        self._linked: dict[NodeName, set[NodeName]] = {}
        self._nursery: trio.Nursery | None = None
        for node in self.nodes:
            record = msgspec.json.encode(node.core.own_record)
            self.store.append(Topic.NODES, node.name, record)
        self.publish(1, 0.0)

    def publish(self, version: int, now_s: float) -> None:
        self.published_s[version] = now_s
        self.store.append(Topic.OPERATOR, CONFIG, str(version).encode())

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._link)
            nursery.start_soon(self._sample)
            for node in self.nodes:
                self._start(node, nursery)

    def add_node(self) -> PollingNode:
        """Start one more node, which writes its record as nodes do."""
        node = PollingNode(len(self.nodes), self.store)
        self.nodes.append(node)
        self._by_name[node.name] = node
        record = msgspec.json.encode(node.core.own_record)
        self.store.append(Topic.NODES, node.name, record)
        assert self._nursery is not None
        self._start(node, self._nursery)
        return node

    def _start(self, node: PollingNode, nursery: trio.Nursery) -> None:
        nursery.start_soon(node.task.run)
        nursery.start_soon(node.reader.run)
        nursery.start_soon(self._deliver, node)

    async def restore_store(
        self, away_s: float = 1.0
    ) -> dict[Topic, list[KeyedRecord]]:
        """Let the store be away and return from its copy; return what is lost."""
        self.store.refuse()
        await trio.sleep(away_s)
        lost = self.store.restore_copy()
        self.store.restore()
        return lost

    def compute_propagation_s(self, version: int) -> float:
        """Return the time from publication until all nodes had a version, in s."""
        return max(
            self.in_force_s.get((node.name, version), float("inf"))
            - self.published_s[version]
            for node in self.nodes
        )

    async def _deliver(self, node: PollingNode) -> None:
        async for message in node.messages:
            await trio.sleep(LINK_DELAY_S)
            if self.unlinked.isdisjoint((node.name, message.node)):
                read = LinkMessageRead(node.core.identity, message.message)
                self._by_name[message.node].task.client.send_event(read)

    async def _link(self) -> None:
        while True:
            self._link_once(trio.current_time() * 1000)
            await trio.sleep(DIAL_INTERVAL_S)

    def _link_once(self, now_ms: float) -> None:
        found: dict[NodeName, set[NodeName]] = {node.name: set() for node in self.nodes}
        for node in self.nodes:
            for vm in node.core.node_directory.find_peers(now_ms):
                other = NodeName(vm.name)
                if self.unlinked.isdisjoint((node.name, other)):
                    found[node.name].add(other)
                    found[other].add(node.name)
        for node in self.nodes:
            if found[node.name] != self._linked.get(node.name):
                peers = sorted(found[node.name])
                identities = tuple(self._by_name[each].core.identity for each in peers)
                node.task.client.send_event(PeersLinked(identities))
        self._linked = found

    async def _sample(self) -> None:
        while True:
            now_s = trio.current_time()
            for node in self.nodes:
                for version in self.published_s:
                    if version <= node.version:
                        self.in_force_s.setdefault((node.name, version), now_s)
            await trio.sleep(SAMPLE_INTERVAL_S)


def decode(topic: Topic, key: str, value: bytes) -> object:
    match topic:
        case Topic.OPERATOR if key == CONFIG:
            return RouteTable(version=int(value))
        case Topic.OPERATOR:
            return WantedWeights(key, int(value))
        case Topic.NODES:
            return msgspec.json.decode(value, type=NodeRecord)
        case Topic.REPLICAS:
            return value.decode()
