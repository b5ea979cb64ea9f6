"""Estimate how fast each replica works, relative to the others of its service.

Answers the load in which replicas differ in hardware and share their machines: without
an estimate a slow replica gets as many long prompts as a fast one, and they are late
there. A sample is the logarithm of the speed that a replica states in an answer; the
mean of recent samples counts, since a single one holds for less time than it takes to
reach other nodes.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

import msgspec

from toucanyard.names import EndpointName, ServiceName

MAX_LOG_SPEED: Final = math.log(10.0)
"""Highest logarithm of a speed, and lowest when negative."""
HALF_LIFE_MS: Final = 20_000.0
"""A replica's hardware outlasts any load; other work on its machine comes and goes
within a second and is averaged."""
PRIOR_SAMPLES: Final = 0.5
"""Weight of the assumption that a replica is average."""
MIN_WEIGHT: Final = 1e-6
"""Weight below which samples are too old to count."""
MIN_FACTOR: Final = 0.25
MAX_FACTOR: Final = 4.0
REFRESH_MS: Final = 1_000.0
"""Time between two computations of all factors of a service."""


class SpeedSamples(msgspec.Struct):
    """Decayed sum of the logarithms of stated speeds, and their weight."""

    updated_ms: float
    log_sum: float = 0.0
    weight: float = 0.0

    def add(self, log_sum: float, weight: float, now_ms: float) -> None:
        """Add samples after the earlier ones have decayed."""
        kept = 0.5 ** (max(now_ms - self.updated_ms, 0.0) / HALF_LIFE_MS)
        self.log_sum = self.log_sum * kept + log_sum
        self.weight = self.weight * kept + weight
        self.updated_ms = now_ms


def compute_sample(contention: float) -> float:
    """Return the logarithm of the speed of a replica that states a contention."""
    return clip_sample(-math.log(contention)) if contention > 0.0 else 0.0


def clip_sample(log_speed: float) -> float:
    """Return the logarithm of a speed, limited to what machines differ by."""
    return min(max(log_speed, -MAX_LOG_SPEED), MAX_LOG_SPEED)


class ReplicaSpeeds:
    """Speeds of the replicas of all active services; owned by one task."""

    __slots__ = ("_factors", "_refreshed_ms", "_samples")

    def __init__(self) -> None:
        self._samples: dict[ServiceName, dict[EndpointName, SpeedSamples]] = {}
        self._factors: dict[ServiceName, dict[EndpointName, float]] = {}
        self._refreshed_ms: dict[ServiceName, float] = {}

    def record(
        self,
        service: ServiceName,
        replica: EndpointName,
        log_sum: float,
        weight: float,
        now_ms: float,
    ) -> None:
        """Add samples of a replica's speed."""
        samples = self._samples.setdefault(service, {})
        samples.setdefault(replica, SpeedSamples(now_ms)).add(log_sum, weight, now_ms)

    def find_factors(
        self, service: ServiceName, now_ms: float
    ) -> dict[EndpointName, float]:
        """Return the speeds relative to the mean; a replica that lacks is average."""
        refreshed_ms = self._refreshed_ms.get(service, float("-inf"))
        if now_ms - refreshed_ms >= REFRESH_MS:
            self._refreshed_ms[service] = now_ms
            self._factors[service] = _compute_factors(self._samples.get(service, {}))
        return self._factors[service]

    def list_samples(self, service: ServiceName) -> dict[EndpointName, SpeedSamples]:
        """Return the samples of each replica of a service."""
        return dict(self._samples.get(service, {}))

    def retain(self, known: Collection[EndpointName]) -> None:
        """Forget all other replicas."""
        for samples in self._samples.values():
            for name in samples.keys() - set(known):
                del samples[name]


def _compute_factors(
    samples: dict[EndpointName, SpeedSamples],
) -> dict[EndpointName, float]:
    raw = [
        each.log_sum / each.weight
        for each in samples.values()
        if each.weight >= MIN_WEIGHT
    ]
    if not raw:
        return {}
    mean = sum(raw) / len(raw)
    shrunk = {
        name: (each.log_sum + PRIOR_SAMPLES * mean) / (each.weight + PRIOR_SAMPLES)
        for name, each in samples.items()
    }
    return {
        name: min(max(math.exp(log_speed - mean), MIN_FACTOR), MAX_FACTOR)
        for name, log_speed in shrunk.items()
    }
