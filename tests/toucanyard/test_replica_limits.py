from __future__ import annotations

import random

from toucanyard.names import EndpointName
from toucanyard.replica_limits import UPDATE_TTL_MS, ReplicaLimits

R = EndpointName("r")


class Node:
    """The limits that one node knows."""

    def __init__(self, seed: int) -> None:
        self.limits = ReplicaLimits(random.Random(seed))

    def answer(self, rate_per_s: float | None, now_ms: float) -> int:
        return len(list(self.limits.on_answer(R, rate_per_s, now_ms)))

    def hear(self, other: Node, now_ms: float, latency_ms: float = 0.0) -> int:
        updates = list(other.limits.list_updates(now_ms - latency_ms))
        return len(list(self.limits.apply(updates, "other", now_ms)))

    @property
    def rate_per_s(self) -> float | None:
        return self.limits.find_rate(R)


def test_newest_answer_decides_at_whatever_node_it_was_seen() -> None:
    a, b = Node(1), Node(2)
    assert a.answer(1.5, 100.0) == 1
    assert b.hear(a, 110.0) == 1
    assert b.rate_per_s == 1.5
    assert b.answer(None, 200.0) == 1
    assert a.hear(b, 210.0) == 1
    assert a.rate_per_s is None
    assert not b.hear(a, 220.0)
    assert b.rate_per_s is None


def test_update_that_comes_back_over_slow_links_undoes_nothing() -> None:
    """Guards against old updates that seem new.

    Ages in updates exclude the latency of each hop, so a delayed update seems younger
    than it is.
    """
    a, b = Node(1), Node(2)
    a.answer(1.5, 0.0)
    b.hear(a, 300.0, latency_ms=300.0)
    a.answer(None, 100.0)
    assert not a.hear(b, 600.0, latency_ms=300.0)
    assert a.rate_per_s is None


def test_answers_that_name_the_same_limit_are_no_news() -> None:
    a = Node(1)
    a.answer(1.5, 0.0)
    assert not any(a.answer(1.5, 10.0 * each) for each in range(1, 1_000))
    assert not list(a.limits.list_updates(10_000.0))
    assert a.rate_per_s == 1.5


def test_limits_are_shared_with_a_peer_that_knows_none() -> None:
    a, late = Node(1), Node(2)
    a.answer(1.5, 0.0)
    assert not late.hear(a, UPDATE_TTL_MS + 1.0)
    a.limits.share_all(UPDATE_TTL_MS + 1.0)
    assert late.hear(a, UPDATE_TTL_MS + 2.0)
    assert late.rate_per_s == 1.5


def test_ended_limits_and_gone_replicas_are_forgotten() -> None:
    a = Node(1)
    a.answer(1.5, 0.0)
    a.limits.retain([])
    assert a.rate_per_s is None
    a.answer(1.5, 0.0)
    a.answer(None, 10.0)
    assert not list(a.limits.list_updates(UPDATE_TTL_MS + 20.0))
    assert not a.limits.list_limited()
