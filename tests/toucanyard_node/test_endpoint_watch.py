from __future__ import annotations

import random

import msgspec
import trio
import trio.testing

from support.network import MemoryNetwork
from toucanyard.configuration import Endpoint
from toucanyard.core_events import (
    CacheDumpRead,
    CacheEventsRead,
    EndpointPollFailed,
    LoadRead,
)
from toucanyard.names import Address, DomainName, EndpointName
from toucanyard.options import MembershipTimings
from toucanyard_node.endpoint_watch import (
    EndpointWatch,
    WatchedEndpoint,
    WatchEvent,
    compute_poll_wait_ms,
)
from toucanyard_node.http_exchange import (
    HttpRequest,
    Responder,
)
from toucanyard_node.vm_list import compute_wait_ms

TIMINGS = MembershipTimings()
ENDPOINT = Endpoint(EndpointName("e"), Address("10.0.0.1:80"), DomainName("d"))


class FakeEngine:
    """Engine that answers polls; while `hangs` is set, load requests never return."""

    def __init__(self) -> None:
        self.incarnation = "i1"
        self.seq = 3
        self.hangs = False
        self.events_per_answer = 1
        self.requested_after: list[str] = []
        self.event_bytes = 0
        self.dumps = 0
        self.dump_blocks = 1
        self.load_answers = 0

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        body: object
        match request.path:
            case "/v1/load":
                if self.hangs:
                    await trio.sleep_forever()
                self.load_answers += 1
                body = {"incarnation": self.incarnation, "running": 1, "age_ms": 5}
            case "/v1/cache/events":
                self.requested_after.append(request.query["after"])
                await trio.sleep(0.3)
                event = {
                    "seq": self.seq,
                    "kind": "stored",
                    "hashes": ["00000000000000ff"],
                }
                is_beyond = int(request.query["after"]) > self.seq
                count = 0 if is_beyond else self.events_per_answer
                body = {
                    "incarnation": self.incarnation,
                    "oldest": 0,
                    "next": self.seq + 1,
                    "events": [event] * count,
                }
                self.event_bytes += len(msgspec.json.encode(body))
            case _:
                self.dumps += 1
                hashes = ["0a"] * self.dump_blocks
                body = {"incarnation": self.incarnation, "next": 4, "hashes": hashes}
        await responder.send(200, (), msgspec.json.encode(body))


class WatchFixture:
    """An endpoint watch and an engine on an in-memory network."""

    def __init__(
        self, nursery: trio.Nursery, timings: MembershipTimings = TIMINGS
    ) -> None:
        self.engine = FakeEngine()
        self.network = MemoryNetwork(nursery)
        self.network.serve(ENDPOINT.address, self.engine.handle)
        self.events: list[WatchEvent] = []
        self.count_of_endpoints = 1
        self.wanted = [WatchedEndpoint(ENDPOINT, is_engine=True, is_followed=True)]
        self.watch = EndpointWatch(
            lambda: (self.wanted, self.count_of_endpoints),
            timings,
            self.record_event,
            self.network.connect,
            random.Random(1),
        )
        nursery.start_soon(self.watch.run)

    async def record_event(self, event: WatchEvent) -> None:
        self.events.append(event)

    def count(self, kind: type[WatchEvent]) -> int:
        return sum(isinstance(event, kind) for event in self.events)


async def test_polls_loads_follows_events_and_reads_dumps(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        await trio.sleep(2)
        assert 6 <= fixture.count(LoadRead) <= 9
        assert fixture.count(EndpointPollFailed) == 0
        assert fixture.engine.requested_after[:3] == ["-1", "3", "3"]
        await fixture.watch.read_dump(ENDPOINT.name)
        dump = next(each for each in fixture.events if isinstance(each, CacheDumpRead))
        assert dump.dump.hashes == (10,)
        fixture.wanted = []
        await trio.sleep(1)
        seen = len(fixture.events)
        await trio.sleep(1)
        assert len(fixture.events) == seen
        nursery.cancel_scope.cancel()


async def test_restarted_engine_is_followed_from_its_first_event(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A restarted engine numbers its events from the start. Requests for events after
    the old numbers would return none for long, and its cache would appear empty."""
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        await trio.sleep(1)
        fixture.engine.incarnation, fixture.engine.seq = "i2", 0
        fixture.events.clear()
        fixture.engine.requested_after.clear()
        await trio.sleep(2)
        assert "-1" in fixture.engine.requested_after
        read = [each for each in fixture.events if isinstance(each, CacheEventsRead)]
        assert read[-1].events.incarnation == "i2"
        nursery.cancel_scope.cancel()


async def test_dead_connection_alone_is_no_silence_of_the_endpoint(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The persistent poll connection stalls while new ones work. Reporting the endpoint
    as failed would remove it from use without cause."""
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        await trio.sleep(1)
        fixture.engine.hangs = True
        await trio.sleep(0.4)
        fixture.engine.hangs = False
        await trio.sleep(2)
        assert fixture.count(EndpointPollFailed) == 0
        fixture.engine.hangs = True
        await trio.sleep(3)
        assert fixture.count(EndpointPollFailed) >= 2
        nursery.cancel_scope.cancel()


async def test_refused_connection_is_silence(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        fixture.network.remove(ENDPOINT.address)
        await trio.sleep(1)
        assert fixture.count(EndpointPollFailed) >= 4
        nursery.cancel_scope.cancel()


async def test_events_beyond_the_bound_are_skipped_and_loads_still_come(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # In a large fleet a replica publishes 15 KB/s where 400 B/s are allowed. The node
    # reads part of the events and skips the rest, which makes its view doubtful;
    # resuming where it stopped would read all of them, only later.
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        fixture.count_of_endpoints = 4_400
        fixture.engine.events_per_answer = 80
        await trio.sleep(300)
        allowed = TIMINGS.max_shared_event_bytes_per_s
        assert 0 < fixture.engine.event_bytes <= allowed * 310 + 16_384
        assert fixture.count(LoadRead) >= 900
        read = [each for each in fixture.events if isinstance(each, CacheEventsRead)]
        assert not read[0].events.events
        assert read[0].events.next == 4
        assert any(each.events.events for each in read)
        assert (
            fixture.engine.requested_after.count(fixture.engine.requested_after[0]) >= 3
        )
        nursery.cancel_scope.cancel()


async def test_list_of_blocks_over_the_bound_is_not_asked_for_again_and_again(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # The core requests the dump of a doubtful engine every second. A dump above the
    # limit is truncated; without remembering its size, each attempt would use up the
    # budget.
    timings = msgspec.structs.replace(TIMINGS, max_shared_event_bytes_per_s=2_000)
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery, timings)
        fixture.count_of_endpoints = 4_400
        fixture.engine.dump_blocks = 50_000
        await trio.sleep(60)
        for _ in range(60):
            await fixture.watch.read_dump(ENDPOINT.name)
            await trio.sleep(1)
        assert fixture.engine.dumps == 1
        assert fixture.count(CacheDumpRead) == 0
        nursery.cancel_scope.cancel()


async def test_endpoint_that_another_node_follows_gives_its_load_only(
    autojump_clock: trio.testing.MockClock,
) -> None:
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        fixture.wanted = [WatchedEndpoint(ENDPOINT, is_engine=True, is_followed=False)]
        await trio.sleep(2)
        assert fixture.count(LoadRead) >= 6
        assert not fixture.engine.requested_after
        await fixture.watch.read_dump(ENDPOINT.name)
        assert not fixture.engine.dumps
        nursery.cancel_scope.cancel()


def test_polls_are_bounded_where_watching_is_shared() -> None:
    assert compute_poll_wait_ms(TIMINGS, 14, 14) == TIMINGS.load_poll_ms
    assert compute_poll_wait_ms(TIMINGS, 41, 4_400) == 41_000 / 4
    assert compute_wait_ms(TIMINGS, 3_000) == TIMINGS.vm_list_poll_ms
    assert compute_wait_ms(TIMINGS, 616_000) == 400_000


async def test_replica_that_is_long_dead_is_polled_rarely(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # An address doesn't respond for minutes. The crash is detected at the full rate
    # within seconds; polling on at that rate used a tenth of a core with many crashed
    # replicas. Once it responds, it is polled as before.
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        fixture.network.remove(ENDPOINT.address)
        await trio.sleep(5)
        assert fixture.count(EndpointPollFailed) >= 15
        await trio.sleep(60)
        before = fixture.count(EndpointPollFailed)
        await trio.sleep(60)
        assert 25 <= fixture.count(EndpointPollFailed) - before <= 35
        fixture.network.serve(ENDPOINT.address, fixture.engine.handle)
        await trio.sleep(10)
        assert fixture.count(LoadRead) >= 25
        nursery.cancel_scope.cancel()


async def test_first_endpoints_are_watched_at_once(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """The first configuration comes into force between two refreshes. Until loads and
    caches are known, the node places requests by hash alone; when many nodes start
    together, they concentrate requests on a few endpoints."""
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        wanted, fixture.wanted = fixture.wanted, []
        await trio.sleep(1.03)
        fixture.wanted = wanted
        await trio.sleep(0.02)
        assert fixture.count(LoadRead) == 1
        nursery.cancel_scope.cancel()


async def test_node_without_endpoints_looks_for_them_seldom(
    autojump_clock: trio.testing.MockClock,
) -> None:
    # Without any configured endpoints, refreshing every 10 ms forever would use more
    # CPU time than everything else in an idle node.
    refresh_count = 0

    def find_nothing() -> tuple[list[WatchedEndpoint], int]:
        nonlocal refresh_count
        refresh_count += 1
        return [], 0

    async def ignore(event: WatchEvent) -> None:
        del event

    async with trio.open_nursery() as nursery:
        watch = EndpointWatch(find_nothing, TIMINGS, ignore)
        nursery.start_soon(watch.run)
        await trio.sleep(20)
        before = refresh_count
        await trio.sleep(10)
        assert refresh_count - before <= 51
        nursery.cancel_scope.cancel()


async def test_many_replicas_that_fail_share_a_rate_and_few_are_polled_fast(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A domain or this node's network fails: none of forty replicas responds.

    Polling each at the full rate would use as much CPU time as relaying. A replica that
    fails alone is still polled at the full rate, so that its crash is detected as fast.
    """
    async with trio.open_nursery() as nursery:
        fixture = WatchFixture(nursery)
        fixture.count_of_endpoints = 4_400
        fixture.network.remove(ENDPOINT.address)
        await trio.sleep(2)
        assert fixture.count(EndpointPollFailed) >= 7
        others = [
            msgspec.structs.replace(ENDPOINT, name=EndpointName(f"e{number}"))
            for number in range(40)
        ]
        fixture.wanted = [
            WatchedEndpoint(each, True, is_followed=False) for each in others
        ]
        await trio.sleep(6)
        before = fixture.count(EndpointPollFailed)
        await trio.sleep(10)
        assert 100 <= fixture.count(EndpointPollFailed) - before <= 170
        nursery.cancel_scope.cancel()
