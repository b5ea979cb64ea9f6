"""Tests of the offset at which a starting node begins to read the log."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from core_world import ANY_PORT
from toucanyard.core_events import LogExpired, LogRead, LogReadRestarted
from toucanyard.log_start import StartSearch, compute_span_ms
from toucanyard.names import DomainName, Incarnation, NodeId, NodeName, PoolName
from toucanyard.node_core import NodeCore
from toucanyard.options import (
    ClaimLimits,
    ConfigurationTimings,
    ListenOptions,
    Options,
    PlatformOptions,
)
from toucanyard.platform_log import LogRecord
from toucanyard.pool_leases import PoolLeaseRecord

from .configuration_fakes import FakeLog, build_patch, start_node

WINDOW_MS = 600_000.0
REMEMBERED_MS = 1.25 * WINDOW_MS
SPAN_MS = compute_span_ms(ClaimLimits(), ConfigurationTimings(checkpoint_after_ms=1))
SEGMENTS = st.lists(
    st.tuples(
        st.integers(1, 4_000),
        st.sampled_from([0.0, 2.5, 100.0, 1_000.0]),
        st.sampled_from([0.0, 0.0, -5_000_000.0, -100_000.0, 440_000.0]),
    ),
    min_size=1,
    max_size=6,
)


def find_start(times_ms: list[float], oldest: int) -> tuple[int, int]:
    """Return the start offset and the number of probes."""
    newest = LogRecord(len(times_ms) - 1, times_ms[-1], "")
    search = StartSearch(oldest, newest, SPAN_MS)
    probes = 0
    while (probe := search.find_probe()) is not None:
        probes += 1
        search.apply_probe(probe, times_ms[probe])
    return search.start, probes


@given(SEGMENTS, st.integers(0, 500))
@example([(30_000, 100.0, 0.0), (3_000, 100.0, 440_000.0)], 0)
@settings(max_examples=300)
def test_no_record_of_the_window_is_passed_over(
    segments: list[tuple[int, float, float]], oldest: int
) -> None:
    """Guards against a start after a claim of the current window: the node would claim
    the key of a late retry again, win, and run it a second time.

    The log's clock goes back by any amount, and forward by less than 0.75 windows in
    total: with more, claims that must be retained look as old as the span.
    """
    true_ms = log_ms = 0.0
    ahead_ms = 0.0
    true: list[float] = []
    times: list[float] = []
    for count, step_ms, jump_ms in segments:
        if jump_ms > 0 and ahead_ms > 0:
            jump_ms = 0.0
        ahead_ms += max(jump_ms, 0.0)
        log_ms += jump_ms
        for _ in range(count):
            true_ms += step_ms
            log_ms += step_ms
            true.append(true_ms)
            times.append(log_ms)
    oldest = min(oldest, len(times) - 1)
    start, probes = find_start(times, oldest)
    assert probes <= 20
    assert all(true_ms - at_ms > REMEMBERED_MS for at_ms in true[oldest:start])


def test_start_is_a_page_before_the_span_at_most() -> None:
    times = [2.5 * number for number in range(1_440_000)]
    start, probes = find_start(times, 0)
    assert 0 <= 1_440_000 - SPAN_MS / 2.5 - start <= 1_000
    assert probes <= 12


def test_span_reaches_back_to_a_checkpoint_that_covers_it() -> None:
    """Otherwise nodes that all start at once would read the whole log to get their
    configuration."""
    timings = ConfigurationTimings()
    span_ms = compute_span_ms(ClaimLimits(window_ms=1), timings)
    assert span_ms > 1.25 * timings.checkpoint_after_ms


def build_core() -> NodeCore:
    listen = ListenOptions(ANY_PORT, ANY_PORT, ANY_PORT)
    platform = PlatformOptions(ANY_PORT, ANY_PORT)
    name, domain = NodeName("node-1"), DomainName("north")
    options = Options(name, domain, listen, platform, ("secret",))
    return NodeCore(options, Incarnation("a"), random.Random(1))


def read(core: NodeCore, texts: list[str], start: int, end: int | None = None) -> int:
    """Read one page; return the version in force afterwards."""
    end = len(texts) if end is None else end
    records = tuple(LogRecord(at, at * 1_000.0, texts[at]) for at in range(start, end))
    core.handle(LogRead(start, end, records, len(texts), 5_000.0), 5_000.0)
    return core.configuration.version


def build_log(versions: int) -> tuple[FakeLog, list[str]]:
    log, writer = FakeLog(), start_node()
    for base in range(versions):
        log.append_patch(build_patch(f"patch-{base}", base))
    log.replay(writer)
    assert log.append_checkpoint(writer)
    log.append_patch(build_patch("last", versions))
    return log, log.texts


def test_checkpoint_behind_a_late_start_gives_the_newest_version() -> None:
    _, texts = build_log(4)
    core = build_core()
    core.handle(LogExpired(4), 5_000.0)
    assert read(core, texts, 4) == 5
    assert not core.log.needs_older()


@pytest.mark.parametrize("cut", [1, 3])
def test_without_a_checkpoint_the_log_is_read_from_its_first_record(cut: int) -> None:
    """All nodes were stopped for longer than the span, so it contains no checkpoint.

    The node reads from the span's start to the end of the log without finding a
    version. It then reads from the first record on, and meanwhile serves no version
    rather than an old one.
    """
    _, texts = build_log(4)
    texts = [texts[number] for number in (0, 1, 2, 3, 5)]
    core = build_core()
    core.handle(LogExpired(4), 5_000.0)
    assert read(core, texts, 4) == 0
    assert core.log.needs_older()
    core.handle(LogReadRestarted(), 5_000.0)
    assert read(core, texts, 0, cut) == 0
    assert read(core, texts, cut) == 5
    assert not core.log.needs_older()


def test_reading_again_changes_nothing_where_a_version_is_known() -> None:
    _, texts = build_log(4)
    core = build_core()
    assert read(core, texts, 0) == 5
    core.handle(LogReadRestarted(), 5_000.0)
    assert core.log.next_offset == len(texts)
    assert read(core, texts, 0, 2) == 5


def test_duties_read_again_do_not_come_after_newer_ones() -> None:
    """A pool lease moved from one node to another. When the log is read again, the
    first claim is repeated after the second, and must not make the first node the
    holder again."""
    pool = PoolName("model-pool")
    first, second = (
        PoolLeaseRecord(pool, NodeId(NodeName(name), Incarnation("x")), name, None)
        for name in ("node-8", "node-9")
    )
    texts = ["{}"] * 60
    texts[20], texts[40] = (
        msgspec.json.encode(each).decode() for each in (first, second)
    )
    core = build_core()
    core.handle(LogExpired(5), 5_000.0)
    read(core, texts, 5)
    holder = core.order_runner.leases.find_holder(pool)
    assert holder is not None and holder.node == "node-9"
    core.handle(LogReadRestarted(), 5_000.0)
    read(core, texts, 0, 30)
    assert core.order_runner.leases.find_holder(pool) == holder
