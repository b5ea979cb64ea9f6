"""Measure the bytes that memberships send, and the time and memory of one.

Bytes are measured on complete memberships that exchange encoded digests in memory.
"""

from __future__ import annotations

import itertools
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from toucanyard.configuration import Configuration, Endpoint, Pool
from toucanyard.membership import Membership
from toucanyard.membership_events import (
    ConfigurationChanged,
    DigestArrived,
    EndpointError,
    EndpointReported,
    PeerUp,
    SendDigest,
    Ticked,
    VmListRead,
)
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    PoolName,
)
from toucanyard.options import MembershipTimings
from toucanyard.vm_view import Vm
from toucanyard.wire import encode_message

_TIMINGS: Final = MembershipTimings()
_MOST_NODES_SHARE: Final = 0.9
"""The share of nodes that counts as most of them."""
_HEADER_BYTES: Final = 46
"""Websocket, TCP and IP headers of one small message."""


def build_members(
    names: list[NodeName], endpoints: tuple[Endpoint, ...]
) -> dict[NodeName, Membership]:
    """Return memberships that know each other, with links to the peers they choose."""
    pool = Pool(PoolName("p"), "m", "1", endpoints)
    changed = ConfigurationChanged(Configuration(1, pools=(pool,)), 2**63)
    listed = VmListRead(tuple(Vm(name, DomainName("d")) for name in names))
    members = {
        name: Membership(name, Incarnation("a"), _TIMINGS, random.Random(name))
        for name in names
    }
    for member in members.values():
        member.handle(listed, 0.0)
        member.handle(changed, 0.0)
    for name, member in members.items():
        for peer in member.find_peers():
            member.handle(PeerUp(NodeName(peer.name)), 0.0)
            members[NodeName(peer.name)].handle(PeerUp(name), 0.0)
    return members


class BytesSent(msgspec.Struct, frozen=True):
    """Bytes sent per node, idle and after concurrent failures, and detection times."""

    links: float
    quiet_bytes_per_s: float
    quiet_worst_bytes: int
    after_bytes_per_s: float
    worst_bytes: int
    most_ms: float | None
    all_ms: float | None


class MemberCosts(msgspec.Struct, frozen=True):
    """Time and memory of one membership."""

    tick_ms: float
    vm_list_ms: float
    watched_ms: float
    watched: int
    usable_ms: float
    usable_changed_ms: float
    """The same after one endpoint failed or recovered."""
    held_bytes: int


def measure_bytes(nodes: int, dead: int, duration_s: int) -> BytesSent:
    """Return the bytes that memberships send; endpoints fail at half of the time."""
    names = [NodeName(f"n{number}") for number in range(nodes)]
    endpoints = tuple(
        Endpoint(EndpointName(f"e{n}"), Address(f"10.0.{n}.1:80"), DomainName("d"))
        for n in range(100)
    )
    members = build_members(names, endpoints)
    sent: dict[NodeName, list[int]] = {name: [] for name in names}
    half_ms = duration_s * 500.0
    most_ms: float | None = None
    all_ms: float | None = None
    for step in range(1, duration_s * 10 + 1):
        now_ms = step * 100.0
        if now_ms >= half_ms:
            _report_poll_results(members, endpoints, dead, now_ms)
        second = int((now_ms - 1) // 1_000)
        for name, member in members.items():
            sizes = sent[name]
            sizes.extend([0] * (second + 1 - len(sizes)))
            for action in member.handle(Ticked(), now_ms):
                if isinstance(action, SendDigest):
                    sizes[second] += len(encode_message(action.digest)) + _HEADER_BYTES
                    arrived = DigestArrived(name, action.digest)
                    members[action.to].handle(arrived, now_ms)
        informed = sum(
            len(member.find_condemned(now_ms)) >= dead for member in members.values()
        )
        if most_ms is None and informed >= _MOST_NODES_SHARE * nodes:
            most_ms = now_ms - half_ms
        if all_ms is None and informed == nodes:
            all_ms = now_ms - half_ms
    idle = [size for sizes in sent.values() for size in sizes[2 : duration_s // 2]]
    after = [size for sizes in sent.values() for size in sizes[duration_s // 2 :]]
    links = statistics.mean(len(member.find_linked()) for member in members.values())
    return BytesSent(
        links,
        statistics.mean(idle),
        max(idle),
        statistics.mean(after),
        max(after),
        most_ms,
        all_ms,
    )


def measure_costs(nodes: int, endpoint_count: int) -> MemberCosts:
    """Return the time and memory of one membership at a size."""
    names = [NodeName(f"n{number}") for number in range(nodes)]
    endpoints = tuple(
        Endpoint(
            EndpointName(f"e{n}"),
            Address(f"10.{n // 250}.{n % 250}.1:1"),
            DomainName(""),
        )
        for n in range(endpoint_count)
    )
    pool = Pool(PoolName("p"), "m", "1", endpoints)
    changed = ConfigurationChanged(Configuration(1, pools=(pool,)), 1)
    listed = VmListRead(tuple(Vm(name, DomainName("d")) for name in names))
    member = Membership(names[0], Incarnation("a"), _TIMINGS, random.Random(1))
    tracemalloc.start()
    member.handle(changed, 0.0)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    list_ms = _time(lambda: member.handle(listed, 0.0))
    watched_ms = _time(lambda: member.find_watched(endpoints))
    for peer in member.find_peers():
        member.handle(PeerUp(NodeName(peer.name)), 0.0)
    for number in range(20):
        for _ in range(3):
            member.handle(EndpointError(endpoints[number % 14].name), 0.0)
    tick_ms = _time(lambda: member.handle(Ticked(), 0.0))
    usable_ms = _time(lambda: member.find_usable(endpoints, 0.0))

    last = endpoints[-1].name
    flips: Iterator[EndpointError | EndpointReported] = itertools.cycle(
        (EndpointError(last), EndpointReported(last, Incarnation("i"), 0.0))
    )

    def change() -> None:
        member.handle(next(flips), 0.0)

    usable_changed_ms = _time(lambda: member.find_usable(endpoints, 0.0), change)
    watched = len(member.find_watched(endpoints))
    return MemberCosts(
        tick_ms,
        list_ms,
        watched_ms,
        watched,
        usable_ms,
        usable_changed_ms,
        held_bytes,
    )


def _time(
    action: Callable[[], object], prepare: Callable[[], object] | None = None
) -> float:
    times_ms: list[float] = []
    for _ in range(9):
        if prepare is not None:
            prepare()
        started_s = time.perf_counter()
        action()
        times_ms.append((time.perf_counter() - started_s) * 1000)
    return statistics.median(times_ms)


def _report_poll_results(
    members: dict[NodeName, Membership],
    endpoints: tuple[Endpoint, ...],
    dead: int,
    now_ms: float,
) -> None:
    """Give three watchers of each endpoint an error if it is dead, else a report."""
    for number, endpoint in enumerate(endpoints):
        for offset in range(3):
            names = list(members)
            member = members[names[(number * 3 + offset) % len(names)]]
            if number < dead:
                member.handle(EndpointError(endpoint.name), now_ms)
            else:
                reported = EndpointReported(endpoint.name, Incarnation("i"), now_ms)
                member.handle(reported, now_ms)
