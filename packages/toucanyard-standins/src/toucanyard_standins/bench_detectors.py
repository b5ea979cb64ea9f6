"""Compare failure detectors on the same seeded traces, and count digests' bytes.

A trace says how each poll of each watcher ended. Every rule is given the same traces:
time to notice a death, wrong condemnations on lossy links, by pauses of endpoints and
by nodes whose own network is bad. Bytes come from whole memberships that exchange
encoded digests in memory.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from toucanyard.configuration import Configuration, Endpoint, Pool
from toucanyard.detectors import Accrual, Detector, ErrorRun, Silence, SourceCount
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
_POLL_MS: Final = 250.0
_TIMEOUT_MS: Final = 500.0
_SPREAD_MS: Final = 150.0
"""How long a source's report takes to the others."""
_WATCHERS: Final = 9
_ENDPOINTS: Final = 14
_MOST: Final = 0.9
_SIZES: Final = ((9, 14), (40, 550), (160, 2_200), (320, 4_400))
_HEADER_BYTES: Final = 46
"""Websocket, TCP and IP headers of one small message."""


class Scenario(msgspec.Struct, frozen=True):
    """What goes wrong in one trace."""

    name: str
    duration_ms: float
    loss: float = 0.0
    dead_at_ms: float | None = None
    is_silent: bool = False
    gray_nodes: int = 0
    gray_loss: float = 0.0
    pause_share: float = 0.0
    """Share of the time in which an endpoint is paused, for 1.2 s each."""


class Rule(msgspec.Struct, frozen=True):
    """A detector and how many sources must agree."""

    name: str
    build: Callable[[float], Detector]
    sources: int
    doubts_itself: bool = False
    """Whether a watcher for which most endpoints fail accuses none."""


class Poll(msgspec.Struct, frozen=True, order=True):
    """The end of one poll."""

    at_ms: float
    watcher: int
    endpoint: int
    is_ok: bool


class Result(msgspec.Struct):
    """What one rule made of a scenario's traces."""

    notice_ms: list[float] = msgspec.field(default_factory=list)
    missed: int = 0
    wrong: int = 0
    """Times that a live endpoint came to be condemned."""
    wrong_ms: float = 0.0
    hours: float = 0.0


SCENARIOS: Final = (
    Scenario("process dies", 20_000, 0.01, 10_000),
    Scenario("VM goes silent", 20_000, 0.01, 10_000, is_silent=True),
    Scenario("dies, 10% loss", 20_000, 0.1, 10_000, is_silent=True),
    Scenario("5% loss", 300_000, 0.05),
    Scenario("20% loss", 300_000, 0.2),
    Scenario("pauses of 1.2 s", 300_000, 0.01, pause_share=0.02),
    Scenario("one gray node", 300_000, 0.01, gray_nodes=1, gray_loss=0.8),
    Scenario("one node cut off", 300_000, 0.01, gray_nodes=1, gray_loss=1.0),
    Scenario("two gray nodes", 300_000, 0.01, gray_nodes=2, gray_loss=0.8),
)


def build_rules() -> tuple[Rule, ...]:
    """Return the rules to compare."""
    reports, window_ms = _TIMINGS.condemn_reports, float(_TIMINGS.condemn_window_ms)
    silence_ms = float(_TIMINGS.suspect_after_ms)
    sources = _TIMINGS.condemn_sources
    return (
        Rule("timeout, 1 source", lambda now_ms: Silence(silence_ms, now_ms), 1),
        Rule("accrual, 1 source", lambda now_ms: Accrual(8.0, _POLL_MS, now_ms), 1),
        Rule("N errors, 1 source", lambda _: ErrorRun(reports, window_ms), 1),
        Rule("timeout, S sources", lambda now_ms: Silence(silence_ms, now_ms), sources),
        Rule(
            "accrual, S sources",
            lambda now_ms: Accrual(8.0, _POLL_MS, now_ms),
            sources,
        ),
        Rule(
            "accrual wide, S",
            lambda now_ms: Accrual(8.0, _POLL_MS, now_ms, _POLL_MS),
            sources,
        ),
        Rule("N errors, S sources", lambda _: ErrorRun(reports, window_ms), sources),
        Rule(
            "same, doubts itself",
            lambda _: ErrorRun(reports, window_ms),
            sources,
            doubts_itself=True,
        ),
    )


def build_trace(scenario: Scenario, seed: int) -> list[Poll]:
    """Return the polls of all watchers, by the time of their end."""
    rng = random.Random(f"{scenario.name} {seed}")
    pauses = [_build_pauses(scenario, rng) for _ in range(_ENDPOINTS)]
    polls: list[Poll] = []
    for watcher in range(_WATCHERS):
        loss = scenario.gray_loss if watcher < scenario.gray_nodes else scenario.loss
        for endpoint in range(_ENDPOINTS):
            at_ms = rng.uniform(0, _POLL_MS)
            while at_ms < scenario.duration_ms:
                took_ms, is_ok = _poll(scenario, endpoint, at_ms, loss, pauses, rng)
                polls.append(Poll(at_ms + took_ms, watcher, endpoint, is_ok))
                at_ms += max(took_ms, _POLL_MS * rng.uniform(0.95, 1.05))
    polls.sort()
    return polls


def _build_pauses(scenario: Scenario, rng: random.Random) -> list[float]:
    starts: list[float] = []
    if scenario.pause_share:
        at_ms = 0.0
        while at_ms < scenario.duration_ms:
            at_ms += rng.expovariate(scenario.pause_share / 1_200)
            starts.append(at_ms)
    return starts


def _poll(
    scenario: Scenario,
    endpoint: int,
    at_ms: float,
    loss: float,
    pauses: list[list[float]],
    rng: random.Random,
) -> tuple[float, bool]:
    dead_ms = scenario.dead_at_ms
    if endpoint == 0 and dead_ms is not None and at_ms >= dead_ms:
        return (_TIMEOUT_MS if scenario.is_silent else 1.0), False
    if rng.random() < loss:
        return _TIMEOUT_MS, False
    waits = [start + 1_200 - at_ms for start in pauses[endpoint] if start <= at_ms]
    wait_ms = max([0.0, *waits])
    if wait_ms >= _TIMEOUT_MS:
        return _TIMEOUT_MS, False
    return wait_ms + rng.uniform(1.0, 5.0), True


def judge(rule: Rule, scenario: Scenario, polls: list[Poll], result: Result) -> None:
    """Run one rule over one trace and add to its result."""
    local = {
        (watcher, endpoint): rule.build(0.0)
        for watcher in range(_WATCHERS)
        for endpoint in range(_ENDPOINTS)
    }
    joined = [SourceCount(rule.sources, 1e12) for _ in range(_ENDPOINTS)]
    since: dict[int, float] = {}
    failing: list[set[int]] = [set() for _ in range(_WATCHERS)]
    noticed = False
    for now_ms, watcher, endpoint, poll in _iterate(polls, scenario.duration_ms):
        detector = local[watcher, endpoint]
        if poll is not None:
            _note(detector, failing[watcher], poll)
        is_doubted = rule.doubts_itself and 2 * len(failing[watcher]) > _ENDPOINTS
        if detector.is_suspect(now_ms) and not is_doubted:
            joined[endpoint].note_report(str(watcher), now_ms)
        else:
            joined[endpoint].withdraw(str(watcher))
        is_condemned = joined[endpoint].is_condemned(now_ms)
        dead_ms = scenario.dead_at_ms
        is_dead = endpoint == 0 and dead_ms is not None and now_ms >= dead_ms
        if is_condemned and endpoint not in since:
            since[endpoint] = now_ms
            if not is_dead:
                result.wrong += 1
        if not is_condemned and endpoint in since:
            result.wrong_ms += now_ms - since.pop(endpoint)
        if is_dead and dead_ms is not None and endpoint in since and not noticed:
            noticed = True
            result.notice_ms.append(max(now_ms, dead_ms) - dead_ms + _SPREAD_MS)
    if scenario.dead_at_ms is not None and not noticed:
        result.missed += 1
    result.hours += scenario.duration_ms / 3_600_000 * _ENDPOINTS


def _note(detector: Detector, failing: set[int], poll: Poll) -> None:
    if poll.is_ok:
        detector.note_ok(poll.at_ms)
        failing.discard(poll.endpoint)
    else:
        detector.note_error(poll.at_ms)
        failing.add(poll.endpoint)


def _iterate(
    polls: list[Poll], duration_ms: float
) -> Iterator[tuple[float, int, int, Poll | None]]:
    """Give polls, and looks at every 100 ms, since silence has no event."""
    looks = (
        (at_ms * 100.0, watcher, endpoint, None)
        for at_ms in range(int(duration_ms / 100))
        for watcher in range(_WATCHERS)
        for endpoint in range(_ENDPOINTS)
    )
    ends = ((poll.at_ms, poll.watcher, poll.endpoint, poll) for poll in polls)
    return heapq.merge(looks, ends, key=lambda each: each[0])


def run_traces(seeds: int, named: str) -> None:
    """Print the table of rules and scenarios."""
    print(
        f"{_WATCHERS} watchers, {_ENDPOINTS} endpoints, a poll every {_POLL_MS:.0f} ms"
        f" with {_TIMEOUT_MS:.0f} ms timeout, {seeds} traces each"
    )
    print(
        f"{'scenario':18} {'rule':20} {'notice p50':>10} {'max ms':>8} {'missed':>6}"
        f" {'wrong/endpoint-hour':>20} {'wrong time %':>12}"
    )
    for scenario in SCENARIOS:
        traces = [build_trace(scenario, seed) for seed in range(seeds)]
        for rule in build_rules():
            if named not in rule.name:
                continue
            result = Result()
            for polls in traces:
                judge(rule, scenario, polls, result)
            _print(scenario, rule, result)


def _print(scenario: Scenario, rule: Rule, result: Result) -> None:
    noticed = result.notice_ms
    middle = f"{statistics.median(noticed):.0f}" if noticed else "-"
    longest = f"{max(noticed):.0f}" if noticed else "-"
    share = result.wrong_ms / (result.hours * 3_600_000) * 100
    print(
        f"{scenario.name:18} {rule.name:20} {middle:>10} {longest:>8}"
        f" {result.missed:>6} {result.wrong / result.hours:>20.1f} {share:>12.2f}"
    )


def build_members(
    names: list[NodeName], endpoints: tuple[Endpoint, ...]
) -> dict[NodeName, Membership]:
    """Return memberships that know each other and are linked as they choose."""
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
    """What one node sends, quiet and after deaths together, and who knows when."""

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
    """The same after one more endpoint failed or answered again."""
    held_bytes: int


def run_bytes(nodes: int, dead: int, duration_s: int) -> None:
    """Print what memberships of many nodes send."""
    sent = measure_bytes(nodes, dead, duration_s)
    print(
        f"{nodes} nodes, {sent.links:.1f} links each: quiet"
        f" {sent.quiet_bytes_per_s:.0f} B/s"
        f" sent per node (worst second {sent.quiet_worst_bytes}); {dead} endpoints"
        f" die at once:"
        f" {sent.after_bytes_per_s:.0f} B/s (worst second {sent.worst_bytes}),"
        f" all known to 90% of nodes after {sent.most_ms} ms, to every node after"
        f" {sent.all_ms} ms"
    )


def measure_bytes(nodes: int, dead: int, duration_s: int) -> BytesSent:
    """Return what memberships send, with deaths at half of the time."""
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
            _fail(members, endpoints, dead, now_ms)
        second = int((now_ms - 1) // 1_000)
        for name, member in members.items():
            sizes = sent[name]
            sizes.extend([0] * (second + 1 - len(sizes)))
            for action in member.handle(Ticked(), now_ms):
                if isinstance(action, SendDigest):
                    sizes[second] += len(encode_message(action.digest)) + _HEADER_BYTES
                    arrived = DigestArrived(name, action.digest)
                    members[action.to].handle(arrived, now_ms)
        knows = sum(
            len(member.find_condemned(now_ms)) >= dead for member in members.values()
        )
        if most_ms is None and knows >= _MOST * nodes:
            most_ms = now_ms - half_ms
        if all_ms is None and knows == nodes:
            all_ms = now_ms - half_ms
    quiet = [size for sizes in sent.values() for size in sizes[2 : duration_s // 2]]
    after = [size for sizes in sent.values() for size in sizes[duration_s // 2 :]]
    links = statistics.mean(len(member.find_linked()) for member in members.values())
    return BytesSent(
        links,
        statistics.mean(quiet),
        max(quiet),
        statistics.mean(after),
        max(after),
        most_ms,
        all_ms,
    )


def run_costs(nodes: int, endpoint_count: int) -> None:
    """Print one membership's time and memory at a size."""
    costs = measure_costs(nodes, endpoint_count)
    print(
        f"{nodes} nodes, {endpoint_count} endpoints: tick {costs.tick_ms:.3f} ms,"
        f" VM list {costs.vm_list_ms:.2f} ms, watched {costs.watched_ms:.2f} ms"
        f" ({costs.watched} endpoints), usable of all"
        f" {costs.usable_ms:.2f} ms, {costs.held_bytes / 1000:.0f} KB held"
    )


def measure_costs(nodes: int, endpoint_count: int) -> MemberCosts:
    """Return one membership's time and memory at a size."""
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
    spent: list[float] = []
    for _ in range(9):
        if prepare is not None:
            prepare()
        began = time.perf_counter()
        action()
        spent.append((time.perf_counter() - began) * 1000)
    return statistics.median(spent)


def _fail(
    members: dict[NodeName, Membership],
    endpoints: tuple[Endpoint, ...],
    dead: int,
    now_ms: float,
) -> None:
    """Let three watchers of each dead endpoint see errors, and the others answers."""
    for number, endpoint in enumerate(endpoints):
        for offset in range(3):
            names = list(members)
            member = members[names[(number * 3 + offset) % len(names)]]
            if number < dead:
                member.handle(EndpointError(endpoint.name), now_ms)
            else:
                reported = EndpointReported(endpoint.name, Incarnation("i"), now_ms)
                member.handle(reported, now_ms)


def main(arguments: list[str]) -> int:
    """Run the comparison and the count of bytes."""
    parser = argparse.ArgumentParser(prog="bench detectors")
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--rule", default="", help="only rules with this in the name")
    parser.add_argument("--nodes", type=int, nargs="*", default=[9, 80, 320])
    parser.add_argument("--dead", type=int, default=14)
    parser.add_argument("--seconds", type=int, default=30)
    options = parser.parse_args(arguments)
    run_traces(options.seeds, options.rule)
    for nodes in options.nodes:
        run_bytes(nodes, options.dead, options.seconds)
    for nodes, endpoints in _SIZES:
        run_costs(nodes, endpoints)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
