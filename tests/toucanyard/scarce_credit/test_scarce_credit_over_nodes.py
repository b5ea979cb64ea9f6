"""A customer over its limit sends urgent short prompts and long ones that are not."""

from __future__ import annotations

import msgspec
import pytest

from toucanyard.names import NodeName
from toucanyard.rate_limits import LimitBounds, LimitUnit, RateLimit
from toucanyard.relay_options import RelayOptions
from toucanyard.relay_policy import LimitPolicy, RelayPolicy

from ..crash_fleet import STEP_MS, Call
from ..limit_fleet import LARGE, LimitFleet

LIMIT = RateLimit(100_000.0, 100_000.0, LimitUnit.TOKENS, 200.0)
BOUNDS = LimitBounds(window_ms=8_000.0, overshoot=0.1, slack=20_000.0)
URGENT_TOKENS = 900
URGENT_PER_S = 30.0
LONG_TOKENS = 9_200
LONG_PER_S = 50.0
SOON_MS = 300.0
"""Time within which an urgent call has to start to be answered within its target."""


class ScarceFleet(LimitFleet):
    """Nodes whose customers' credit may go to urgent calls first."""

    def __init__(self, nodes_each: int, *, by_urgency: bool) -> None:
        self._limit_policy = LimitPolicy(by_urgency=by_urgency)
        super().__init__(3, nodes_each, LIMIT, bounds=BOUNDS)

    def build_options(self, options: RelayOptions) -> RelayOptions:
        built = super().build_options(options)
        policy = RelayPolicy(limits=self._limit_policy)
        return msgspec.structs.replace(built, policy=policy)

    def _send(self, tokens: int, rank: int) -> Call:
        alive: list[NodeName] = [name for name in self.cores if name not in self.dead]
        self.rank = rank
        return self.send_call(self.rng.choice(alive), LARGE, tokens)

    def _arrive(self, node: NodeName, request):  # type: ignore[no-untyped-def]
        ranked = msgspec.structs.replace(request, rank=self.rank)
        return super()._arrive(node, ranked)

    def play_mixed(self, for_ms: float, *, long_per_s: float = LONG_PER_S) -> None:
        """Send calls of both kinds at a steady rate."""
        begun_ms, urgent, long = self.now_ms, 0, 0
        while self.now_ms < begun_ms + for_ms:
            passed_s = (self.now_ms - begun_ms) / 1_000
            while urgent < URGENT_PER_S * passed_s:
                urgent += 1
                self._send(URGENT_TOKENS, 0)
            while long < long_per_s * passed_s:
                long += 1
                self._send(LONG_TOKENS, 2)
            self.run_for(STEP_MS)

    def compute_soon(self, rank: int, since_ms: float) -> float:
        """Return the share of calls of a rank that reached a replica soon."""
        started = {
            each.call.request.request_id: each.at_ms - each.call.request.arrived_ms
            for each in self.list_runs()
        }
        sent = [
            each.request
            for each in self.calls
            if each.request.rank == rank and each.request.arrived_ms >= since_ms
        ]
        soon = [each for each in sent if started.get(each.request_id, 1e9) <= SOON_MS]
        return len(soon) / len(sent)


SIZES = pytest.mark.parametrize("nodes_each", [3, 24], ids=["nodes-9", "nodes-72"])


@SIZES
def test_urgent_calls_start_soon_though_their_customer_is_over_its_limit(
    nodes_each: int,
) -> None:
    """Long prompts of the same customer take five times its limit."""
    shares = {}
    for by_urgency in (False, True):
        fleet = ScarceFleet(nodes_each, by_urgency=by_urgency)
        since_ms = fleet.now_ms + 2_000.0
        fleet.play_mixed(8_000.0)
        shares[by_urgency] = fleet.compute_soon(0, since_ms)
        assert fleet.find_max_usage() <= BOUNDS.compute_bound(LIMIT)
        assert fleet.compute_soon(2, since_ms) > 0.05
    assert shares[True] >= 0.95
    assert shares[False] < 0.9


def test_within_the_limit_calls_of_all_ranks_start_soon() -> None:
    """A reserve must not refuse what the limit allows."""
    fleet = ScarceFleet(3, by_urgency=True)
    since_ms = fleet.now_ms
    fleet.play_mixed(6_000.0, long_per_s=5.0)
    assert fleet.compute_soon(0, since_ms) >= 0.99
    assert fleet.compute_soon(2, since_ms) >= 0.95


def test_urgent_calls_go_first_on_both_sides_of_a_cut() -> None:
    """Half of the nodes is cut off in the middle of the flood."""
    fleet = ScarceFleet(3, by_urgency=True)
    names = list(fleet.cores)
    fleet.play_mixed(2_000.0)
    fleet.partition_network(names[: len(names) // 2])
    fleet.play_mixed(3_000.0)
    since_ms = fleet.now_ms
    fleet.play_mixed(5_000.0)
    assert fleet.compute_soon(0, since_ms) >= 0.9
    assert fleet.find_max_usage() <= BOUNDS.compute_bound(LIMIT)


def test_urgent_calls_go_first_after_all_nodes_were_killed() -> None:
    """Coordinators start again in the flood and know neither demand nor levels."""
    fleet = ScarceFleet(3, by_urgency=True)
    names = list(fleet.cores)
    fleet.play_mixed(2_000.0)
    fleet.kill(names)
    fleet.run_for(500.0)
    fleet.start_again(names)
    fleet.run_for(2_500.0)
    since_ms = fleet.now_ms + 2_000.0
    fleet.play_mixed(6_000.0)
    assert fleet.compute_soon(0, since_ms) >= 0.9
    assert fleet.find_max_usage() <= BOUNDS.compute_bound(LIMIT)
