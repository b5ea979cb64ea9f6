from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
import trio

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.log_position import LogPosition
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Fingerprint,
    Incarnation,
    NodeId,
    NodeName,
    ReplicaId,
)
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest
from toucanyard.relay_core import RelayCore
from toucanyard.relay_events import (
    OrderAnswered,
    ReadLeases,
    ReadReplicaState,
    RelayEvent,
    ReplicaStateRead,
    SendToPeer,
    StoreFailed,
    WeightsOrder,
)
from toucanyard.relay_options import RelayListen, RelayOptions
from toucanyard.replicas import RETURN_DETECTION_MS
from toucanyard_node.relay_metrics import RelayMetrics
from toucanyard_node.relay_ports import (
    LeasePage,
    OrderReply,
    RecordsGoneError,
    StateAnswer,
    StoreError,
    TopicPage,
)
from toucanyard_node.relay_store import (
    BackgroundJobRunner,
    StoreReader,
    retry_until_success,
)
from toucanyard_node.relay_task import BackgroundJob, RelayClient, RelayTask

LOCAL = Address("127.0.0.1:1")
READ_TIMEOUT_S = 1.2
"""Time after which a read without an answer fails."""
LISTEN = RelayListen(LOCAL, LOCAL, LOCAL, LOCAL, LOCAL)
OPTIONS = RelayOptions(NodeName("n"), DomainName("d"), LISTEN, LOCAL)


class ScriptedStore:
    """In-memory topics that can be down or silent, delete records and wait."""

    def __init__(self) -> None:
        self.records: dict[Topic, list[KeyedRecord]] = {topic: [] for topic in Topic}
        self.first = dict.fromkeys(Topic, 0)
        self.is_down = False
        self.is_silent = False
        self.oversized: set[Topic] = set()
        """Topics whose answers exceed a bound."""
        self.reads: list[tuple[str, Topic, int]] = []

    def append(self, topic: Topic, key: str, value: bytes | None) -> None:
        offset = self.first[topic] + len(self.records[topic])
        self.records[topic].append(KeyedRecord(key, offset, value))

    def forget(self, topic: Topic) -> None:
        self.first[topic] += len(self.records[topic])
        self.records[topic] = []

    @property
    def era(self) -> int:
        return 0

    async def read_newest(self, topic: Topic) -> TopicPage:
        self.reads.append(("newest", topic, 0))
        self._check_size(topic)
        await self._wait(0.0)
        newest = {each.key: each for each in self.records[topic]}
        kept = tuple(each for each in newest.values() if each.value is not None)
        return TopicPage(kept, self.first[topic] + len(self.records[topic]))

    async def read_since(self, topic: Topic, offset: int, wait_ms: float) -> TopicPage:
        self.reads.append(("since", topic, offset))
        self._check_size(topic)
        if offset >= self.first[topic] + len(self.records[topic]):
            await self._wait(wait_ms)
        else:
            await self._wait(0.0)
        if offset < self.first[topic]:
            raise RecordsGoneError
        records = tuple(self.records[topic][offset - self.first[topic] :])
        return TopicPage(records, offset + len(records))

    async def append_node(self, record: NodeRecord) -> LogPosition:
        await self._wait(0.0)
        return LogPosition(0, 7)

    async def write_quarantine(self, request: QuarantinedRequest) -> LogPosition:
        await self._wait(0.0)
        key = f"quarantine/{request.fingerprint}"
        self.append(Topic.NODES, key, msgspec.json.encode(request))
        return LogPosition(0, len(self.records[Topic.NODES]) - 1)

    async def erase_quarantine(self, fingerprint: Fingerprint) -> LogPosition:
        await self._wait(0.0)
        self.append(Topic.NODES, f"quarantine/{fingerprint}", None)
        return LogPosition(0, len(self.records[Topic.NODES]) - 1)

    async def read_leases(self, offset: int) -> LeasePage:
        raise StoreError("not used")

    async def append_lease(self, value: bytes, at: int) -> LogPosition:
        raise StoreError("not used")

    def _check_size(self, topic: Topic) -> None:
        if topic in self.oversized:
            raise StoreError("over a bound", is_refused=True, is_oversized=True)

    async def _wait(self, wait_ms: float) -> None:
        if self.is_silent:
            await trio.sleep(READ_TIMEOUT_S)
            raise StoreError("no answer")
        await trio.sleep(0.004 + wait_ms / 1000)
        if self.is_down:
            raise StoreError("status 503", is_refused=True)


class StoreReaderHarness:
    """A store reader with its core and its store."""

    def __init__(self) -> None:
        identity = NodeId(NodeName("n"), Incarnation("i"))
        self.core = RelayCore(OPTIONS, identity, decode, random.Random(1))
        messages, _ = trio.open_memory_channel[SendToPeer](1_000)
        jobs, _ = trio.open_memory_channel[BackgroundJob](1_000)
        self.task = RelayTask(self.core, messages, jobs, RelayMetrics())
        self.store = ScriptedStore()
        self.reader = StoreReader(
            self.core, self.task.client, self.store, random.Random(2)
        )

    def list_facts(self, topic: Topic) -> list[str]:
        return sorted(map(str, self.core.exchange.views[topic].list_facts()))


def decode(_: Topic, key: str, value: bytes) -> object:
    return f"{key}={value.decode()}"


async def test_records_reach_the_core_and_none_is_passed_over(
    autojump_clock: object,
) -> None:
    harness = StoreReaderHarness()
    harness.store.append(Topic.OPERATOR, "a", b"1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        nursery.start_soon(harness.reader.run)
        await trio.sleep(1)
        assert harness.list_facts(Topic.OPERATOR) == ["a=1"]
        for number in range(5):
            harness.store.append(Topic.OPERATOR, f"b{number}", b"2")
            await trio.sleep(4)
        assert len(harness.list_facts(Topic.OPERATOR)) == 6
        nursery.cancel_scope.cancel()


async def test_forgotten_records_are_read_whole(autojump_clock: object) -> None:
    """The store deletes old records while the node waits; a key was removed."""
    harness = StoreReaderHarness()
    harness.store.append(Topic.REPLICAS, "a", b"1")
    harness.store.append(Topic.REPLICAS, "b", b"1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        nursery.start_soon(harness.reader.run)
        await trio.sleep(1)
        harness.store.append(Topic.REPLICAS, "a", None)
        harness.store.forget(Topic.REPLICAS)
        harness.store.append(Topic.REPLICAS, "b", b"2")
        await trio.sleep(2)
        assert harness.list_facts(Topic.REPLICAS) == ["b=2"]
        nursery.cancel_scope.cancel()


async def test_store_that_is_down_is_asked_at_a_bounded_rate(
    autojump_clock: object,
) -> None:
    """The store refuses calls for ten seconds; calls count against a shared rate."""
    harness = StoreReaderHarness()
    harness.store.is_down = True
    failures: list[RelayEvent] = []
    handle = harness.core.handle

    def record_event(event: RelayEvent, now_ms: float) -> object:
        if isinstance(event, StoreFailed):
            failures.append(event)
        return handle(event, now_ms)

    harness.core.handle = record_event  # type: ignore[method-assign, assignment]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        nursery.start_soon(harness.reader.run)
        await trio.sleep(10)
        assert len(harness.store.reads) < 100
        assert len(failures) > 10
        harness.store.is_down = False
        harness.store.append(Topic.OPERATOR, "a", b"1")
        await trio.sleep(2)
        assert harness.list_facts(Topic.OPERATOR) == ["a=1"]
        nursery.cancel_scope.cancel()


async def test_return_of_a_silent_store_is_seen_before_a_read_is_given_up(
    autojump_clock: object,
) -> None:
    """The store does not answer for some seconds and then returns.

    Entries that lapsed count from the moment at which its return is noticed. If the
    reader waited for each pending read, that would be up to 1.4 s late, and removed
    entries would count for too long.
    """
    harness = StoreReaderHarness()
    harness.store.append(Topic.REPLICAS, "a", b"1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        nursery.start_soon(harness.reader.run)
        await trio.sleep(2)
        for silent_s in (2.1, 3.3, 4.0, 4.7, 5.2):
            harness.store.is_silent = True
            begun = len(harness.store.reads)
            await trio.sleep(silent_s)
            assert len(harness.store.reads) - begun < 8 * silent_s
            harness.store.is_silent = False
            returned_ms = trio.current_time() * 1000
            await trio.sleep(2)
            absence = harness.core.exchange.views[
                Topic.REPLICAS
            ].availability.find_outage()
            assert absence is not None
            seen_late_ms = absence.returned_ms - returned_ms
            assert 0.0 <= seen_late_ms <= RETURN_DETECTION_MS
        nursery.cancel_scope.cancel()


async def test_topic_over_a_bound_is_no_outage_of_the_store(
    autojump_clock: object,
) -> None:
    """Guards against long polls that end whenever an endless topic is tried again.

    The store answers all other topics; each failure beside them looked like its return,
    upon which a poll is taken for lost.
    """
    harness = StoreReaderHarness()
    harness.store.append(Topic.OPERATOR, "a", b"1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.task.run)
        nursery.start_soon(harness.reader.run)
        await trio.sleep(2)
        harness.store.oversized.add(Topic.REPLICAS)
        begun = len(harness.store.reads)
        await trio.sleep(20)
        topics = [topic for _, topic, _ in harness.store.reads[begun:]]
        due_reads, polls, spare = 20, 6, 4
        assert topics.count(Topic.OPERATOR) <= due_reads + polls + spare
        assert topics.count(Topic.REPLICAS) < 100
        harness.store.append(Topic.OPERATOR, "b", b"2")
        await trio.sleep(5)
        assert len(harness.list_facts(Topic.OPERATOR)) == 2
        nursery.cancel_scope.cancel()


async def test_announcement_is_made_until_it_succeeds(autojump_clock: object) -> None:
    store = ScriptedStore()
    store.is_down = True
    record = NodeRecord(NodeName("n"), Incarnation("i"), DomainName("d"), LOCAL, LOCAL)
    positions: list[LogPosition] = []

    async def announce() -> None:
        positions.append(
            await retry_until_success(lambda: store.append_node(record), "x")
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(announce)
        await trio.sleep(5)
        assert not positions
        store.is_down = False
    assert positions == [LogPosition(0, 7)]


class BrokenControl:
    """Raises an error of an unexpected type at each request to a replica."""

    async def read_state(self, address: Address, listed_as: ReplicaId) -> StateAnswer:
        raise UnicodeError("unexpected")

    async def send_order(self, order: WeightsOrder) -> OrderReply:
        raise UnicodeError("unexpected")


async def test_unexpected_error_in_a_request_to_a_replica_ends_no_node() -> None:
    """Guards against a job for one replica that ends the calls at all others."""
    events, answers = trio.open_memory_channel[Any](10)
    client = RelayClient(events, lambda *_: True)
    records: Any = None
    runner = BackgroundJobRunner(client, ScriptedStore(), BrokenControl(), records)
    send, jobs = trio.open_memory_channel[BackgroundJob](10)
    replica, listed_as = EndpointName("r"), ReplicaId("r")
    order = WeightsOrder(replica, listed_as, LOCAL, "m", 2, NodeName("n"), 7, 0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(runner.run, jobs)
        send.send_nowait(ReadReplicaState(replica, listed_as, LOCAL))
        send.send_nowait(order)
        with trio.fail_after(1):
            found = [await answers.receive(), await answers.receive()]
        nursery.cancel_scope.cancel()
    assert OrderAnswered(order, None) in found
    reads = [each for each in found if isinstance(each, ReplicaStateRead)]
    assert [each.state for each in reads] == [None]


async def test_unexpected_error_at_the_store_is_not_hidden() -> None:
    class BrokenStore(ScriptedStore):
        async def read_leases(self, offset: int) -> LeasePage:
            raise UnicodeError("unexpected")

    events, _ = trio.open_memory_channel[Any](10)
    client = RelayClient(events, lambda *_: True)
    records: Any = None
    runner = BackgroundJobRunner(client, BrokenStore(), BrokenControl(), records)
    send, jobs = trio.open_memory_channel[BackgroundJob](10)
    send.send_nowait(ReadLeases(0))
    send.close()
    with pytest.RaisesGroup(UnicodeError):
        await runner.run(jobs)
