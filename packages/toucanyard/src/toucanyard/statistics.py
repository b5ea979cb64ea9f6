"""Histograms for each customer and class: what the users measure.

Recorded where a dispatch ends; read by the operators' face and sent to statsd.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from toucanyard.configuration import PriorityClass
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import CustomerName
from toucanyard.requests import Outcome

_HIGHEST_MS: Final = 600_000
_HIGHEST_TOKENS: Final = 10_000_000
_DIGITS: Final = 1
"""Values are told apart by 6% or less; a second digit takes ten times the memory."""
_QUANTILES: Final = (50.0, 95.0, 99.0)


class Quantiles(msgspec.Struct, frozen=True):
    """Count and quantiles of one histogram."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class GroupStatistics(msgspec.Struct, frozen=True):
    """What was measured for one customer and class."""

    customer: CustomerName
    priority: PriorityClass
    first_token_ms: Quantiles
    token_gap_ms: Quantiles
    recomputed_tokens: Quantiles
    prompt_tokens: int
    cached_tokens: int
    hit_rate: float


class RefusalCount(msgspec.Struct, frozen=True):
    """How often one customer was refused for one reason."""

    customer: CustomerName
    error: ErrorKind
    count: int


class Statistics(msgspec.Struct, frozen=True):
    """Everything one node has measured since it started."""

    groups: tuple[GroupStatistics, ...]
    refusals: tuple[RefusalCount, ...]


class _Group:
    """Histograms of one customer and class."""

    __slots__ = (
        "cached_tokens",
        "first_token_ms",
        "prompt_tokens",
        "recomputed_tokens",
        "token_gap_ms",
    )

    def __init__(self) -> None:
        self.first_token_ms = HdrHistogram(1, _HIGHEST_MS, _DIGITS)
        self.token_gap_ms = HdrHistogram(1, _HIGHEST_MS, _DIGITS)
        self.recomputed_tokens = HdrHistogram(1, _HIGHEST_TOKENS, _DIGITS)
        self.prompt_tokens = 0
        self.cached_tokens = 0


class StatisticsCollector:
    """Record outcomes and refusals.

    Invariant: one group per customer and class, so memory is bounded by the
    customers of the configuration times the classes.
    """

    __slots__ = ("_groups", "_refusals")

    def __init__(self) -> None:
        self._groups: dict[tuple[CustomerName, PriorityClass], _Group] = {}
        self._refusals: dict[tuple[CustomerName, ErrorKind], int] = {}

    def record_outcome(
        self,
        customer: CustomerName,
        priority: PriorityClass,
        outcome: Outcome,
        waited_ms: float,
    ) -> None:
        """Record one ended dispatch; `waited_ms` is the time before it."""
        group = self._find_group(customer, priority)
        if outcome.first_token_ms is not None:
            total_ms = waited_ms + outcome.first_token_ms
            _record(group.first_token_ms, total_ms, _HIGHEST_MS)
            gaps = outcome.completion_tokens - 1
            if gaps > 0:
                gap_ms = (outcome.duration_ms - outcome.first_token_ms) / gaps
                _record(group.token_gap_ms, gap_ms, _HIGHEST_MS)
        if outcome.prompt_tokens:
            recomputed = outcome.prompt_tokens - outcome.cached_tokens
            _record(group.recomputed_tokens, recomputed, _HIGHEST_TOKENS)
            group.prompt_tokens += outcome.prompt_tokens
            group.cached_tokens += outcome.cached_tokens

    def _find_group(self, customer: CustomerName, priority: PriorityClass) -> _Group:
        group = self._groups.get((customer, priority))
        if group is None:
            group = self._groups[customer, priority] = _Group()
        return group

    def record_refusal(self, customer: CustomerName, error: ErrorKind) -> None:
        """Count one refusal."""
        key = (customer, error)
        self._refusals[key] = self._refusals.get(key, 0) + 1

    def compute_statistics(self) -> Statistics:
        """Return quantiles and counts of all groups."""
        groups = tuple(self._compute_group(key) for key in sorted(self._groups))
        return Statistics(groups, self.list_refusals())

    def list_refusals(self) -> tuple[RefusalCount, ...]:
        """Return how often each customer was refused, by reason."""
        return tuple(
            RefusalCount(customer, error, count)
            for (customer, error), count in sorted(self._refusals.items())
        )

    def iterate_busiest(self, limit: int) -> Iterator[GroupStatistics]:
        """Yield the groups with the most prompt tokens, one at a time.

        Quantiles of one group take about a millisecond, so a reader that shares its
        thread with others can let them run in between.
        """
        by_tokens = heapq.nlargest(
            limit, self._groups, key=lambda key: self._groups[key].prompt_tokens
        )
        for key in by_tokens:
            yield self._compute_group(key)

    def _compute_group(
        self, key: tuple[CustomerName, PriorityClass]
    ) -> GroupStatistics:
        customer, priority = key
        group = self._groups[key]
        prompt = group.prompt_tokens
        return GroupStatistics(
            customer=customer,
            priority=priority,
            first_token_ms=_compute_quantiles(group.first_token_ms),
            token_gap_ms=_compute_quantiles(group.token_gap_ms),
            recomputed_tokens=_compute_quantiles(group.recomputed_tokens),
            prompt_tokens=prompt,
            cached_tokens=group.cached_tokens,
            hit_rate=group.cached_tokens / prompt if prompt else 0.0,
        )


def _record(histogram: HdrHistogram, value: float, highest: int) -> None:
    histogram.record_value(min(max(round(value), 1), highest))


def _compute_quantiles(histogram: HdrHistogram) -> Quantiles:
    p50, p95, p99 = (
        float(histogram.get_value_at_percentile(each)) for each in _QUANTILES
    )
    return Quantiles(
        count=int(histogram.get_total_count()),
        p50=p50,
        p95=p95,
        p99=p99,
        max=float(histogram.get_max_value()),
    )
