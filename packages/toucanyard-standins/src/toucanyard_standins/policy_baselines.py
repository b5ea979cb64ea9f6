"""Define baseline policies for comparison, including one with full knowledge.

All of them maintain Placement's views from the same updates but choose by their own
rule.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from typing import Final

from toucanyard.configuration import Endpoint, Pool
from toucanyard.names import EndpointName
from toucanyard.placement import Placed, Placement
from toucanyard.prefix import DEPTHS
from toucanyard.rendezvous import EndpointRing
from toucanyard.requests import ModelTarget, Request
from toucanyard_standins.policy_engine import FakeEngine

AFFINITY_DEPTH_INDEX: Final = DEPTHS.index(8) + 1


class Baseline(Placement):
    """Maintain Placement's views but choose the endpoint with the lowest key."""

    def choose(
        self,
        request: Request,
        pool: Pool,
        candidates: Sequence[Endpoint],
        now_ms: float,
    ) -> Placed | None:
        """Return the candidate with the lowest key."""
        target = request.target
        if not candidates or not isinstance(target, ModelTarget):
            return None
        names = [each.name for each in candidates]
        chosen = min(names, key=lambda name: self.compute_key(name, target, names))
        return Placed(chosen, None, 0.0, 0.0, 0, 1, ())

    def compute_key(
        self, name: EndpointName, target: ModelTarget, names: Sequence[EndpointName]
    ) -> tuple[float, ...]:
        """Return the sort key of an endpoint; here a random number."""
        return (self._rng.random(),)


class LeastLoaded(Baseline):
    """Choose the fewest requests: reported ones, and own ones sent since."""

    def compute_key(
        self, name: EndpointName, target: ModelTarget, names: Sequence[EndpointName]
    ) -> tuple[float, ...]:
        """Return the number of requests at an endpoint; ties are broken at random."""
        load = self._view(name).load
        report = load.report
        known = 0 if report is None else report.running + report.waiting
        sent_since = sum(own.sent_ms > load.measured_ms for own in load.own.values())
        return (known + sent_since, self._rng.random())


class AffinityOnly(Baseline):
    """Choose the longest known match, then by hash of the prompt's prefix."""

    def compute_key(
        self, name: EndpointName, target: ModelTarget, names: Sequence[EndpointName]
    ) -> tuple[float, ...]:
        """Return the negated match and the rank in the rendezvous hash."""
        warm = self._view(name).count_warm(target)
        keys = target.find_affinity_keys()
        key = keys[min(AFFINITY_DEPTH_INDEX, len(keys)) - 1]
        ring = EndpointRing(names)
        return (-warm, ring.rank(names, key).index(name))


class Oracle(Baseline):
    """Choose by the actual state of the engines, including their queues."""

    def __init__(
        self,
        rng: random.Random,
        engines: Mapping[EndpointName, FakeEngine],
        price: float,
    ) -> None:
        super().__init__(rng)
        self._engines = engines
        self._price = price

    def compute_key(
        self, name: EndpointName, target: ModelTarget, names: Sequence[EndpointName]
    ) -> tuple[float, ...]:
        """Return the actual wait plus the weighted cost of recomputation."""
        engine = self._engines[name]
        chain = target.find_chain(engine.weights_version)
        warm = engine.count_warm(chain)
        jobs = [job for _, _, job in engine.waiting]
        jobs += [engine.prefill] if engine.prefill is not None else []
        for job in jobs:
            warm = max(warm, count_shared_blocks(job.chain, chain))
        ms_per_block = engine.shape.prefill_ms_per_block * engine.slowdown
        wait_ms = engine.compute_queued_blocks() * ms_per_block
        surplus = len(engine.running) + len(engine.waiting) - engine.shape.slots
        if surplus >= 0:
            ends = sorted(engine.ends_ms.values())
            slot = min(surplus, len(ends) - 1)
            wait_ms = max(wait_ms, ends[slot] - engine.clock.now_ms)
        missing_ms = (len(chain) - warm) * ms_per_block
        return (wait_ms + missing_ms * self._price, self._rng.random())


def count_shared_blocks(first: Sequence[int], second: Sequence[int]) -> int:
    """Return how many leading blocks two chains share."""
    count = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        count += 1
    return count
