"""Find the preferred endpoints of a prompt by hashing.

The preferred endpoints of each shared level are chosen among those of the level above,
so a node that has not yet seen a deep level recur still sends to an endpoint of its
front. A level has as many preferred endpoints as its load keeps busy, and one fallback:
by hash alone, a prefix might have no choice but an endpoint whose cache is too small
for all prefixes that hash there.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.hot_prefixes import HotPrefixes
from toucanyard.names import EndpointName
from toucanyard.rendezvous import EndpointRing

MAX_POOLS: Final = 64
MAX_FALLBACKS: Final = 1
"""Number of fallbacks after a prefix's preferred endpoints."""
FALLBACK_RANK: Final = 0.25
"""Share of the spread price that applies to a fallback."""
COST_STEP: Final = 0.05
"""Weight of one request in the moving means of request costs."""


class PoolRequestCost(msgspec.Struct):
    """Moving means of what one request of a pool costs a replica."""

    work_ms: float = 50.0
    duration_ms: float = 1_000.0

    def record_work(self, work_ms: float) -> None:
        """Record the computation before a first token."""
        self.work_ms += COST_STEP * (work_ms - self.work_ms)

    def record_duration(self, duration_ms: float) -> None:
        """Record the time from dispatch to the end of an answer."""
        self.duration_ms += COST_STEP * (duration_ms - self.duration_ms)

    def compute_share(self, slots: int) -> float:
        """Return how many replicas one request a second keeps busy."""
        return max(self.work_ms, self.duration_ms / slots) / 1_000


class PreferredEndpoints(msgspec.Struct, frozen=True):
    """Endpoints that hashing selects for a prompt, and the fallbacks."""

    names: tuple[EndpointName, ...]
    depth: int
    """Depth in blocks of the deepest shared level; 0 if none recurs."""
    fallbacks: tuple[EndpointName, ...] = ()

    def find_rank(self, name: EndpointName) -> float:
        """Return 0 for a preferred endpoint, 1 for one that hashing does not select."""
        if name in self.names:
            return 0.0
        return FALLBACK_RANK if name in self.fallbacks else 1.0


class PoolRequestCosts:
    """Request costs of a bounded number of pools."""

    __slots__ = ("_request_costs",)

    def __init__(self) -> None:
        self._request_costs: dict[str, PoolRequestCost] = {}

    def get(self, pool: str) -> PoolRequestCost:
        """Return the request cost of a pool, initially an estimate."""
        if len(self._request_costs) >= MAX_POOLS and pool not in self._request_costs:
            self._request_costs.clear()
        return self._request_costs.setdefault(pool, PoolRequestCost())


def find_preferred_endpoints(
    ring: EndpointRing,
    prefixes: HotPrefixes,
    keys: Sequence[int],
    load_per_s: float,
    now_ms: float,
) -> PreferredEndpoints:
    """Return the preferred endpoints of a prompt.

    `load_per_s` is the number of replicas kept busy by one request per second, as
    counted by this node.
    """
    if not keys:
        return PreferredEndpoints((), 0)
    levels = prefixes.find_levels(keys, now_ms)
    if not levels:
        ranked = ring.rank_neighbours(keys[0])
        return PreferredEndpoints(
            tuple(ranked[:1]), 0, tuple(ranked[1 : 1 + MAX_FALLBACKS])
        )
    names = ring.rank_neighbours(levels[0].key)
    width = prefixes.adjust_width(levels[0].key, levels[0].per_s * load_per_s, 1)
    fallbacks = names[width : width + MAX_FALLBACKS]
    names = names[:width]
    for level in levels[1:]:
        width = prefixes.adjust_width(level.key, level.per_s * load_per_s, 1)
        if width < len(names):
            names = ring.rank(names, level.key)[:width]
    return PreferredEndpoints(tuple(names), levels[-1].depth, tuple(fallbacks))
