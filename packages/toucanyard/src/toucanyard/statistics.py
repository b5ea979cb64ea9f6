"""Collect latency and token histograms for each customer and priority class.

Recorded when a dispatch ends; read by the operators' API and sent to statsd. The
busiest customers of each class have their own histograms, all others share one.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
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
"""Significant digits: a relative error of at most 6%; a second digit takes ten times
the memory."""
_QUANTILES: Final = (50.0, 95.0, 99.0)
MAX_DETAILED_CUSTOMERS: Final = 64
"""Customers of one class with their own histograms, 10 KB each."""
MAX_REFUSAL_COUNTS: Final = 4_096
"""Combinations of customer and refusal reason that are counted separately."""
OTHER_CUSTOMERS: Final = CustomerName("")
"""Represents all customers without their own histograms; no customer has this name."""
_REPLACEMENT_FACTOR: Final = 2
"""Factor by which a customer must be busier than the least active one to replace it."""
_AGING_RECORDS: Final = 10_000
"""Dispatches after which the activity counts of a class are halved, so that they show
recent activity."""


class Quantiles(msgspec.Struct, frozen=True):
    """Count and quantiles of one histogram."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class GroupStatistics(msgspec.Struct, frozen=True):
    """Statistics of one customer and class, or of all other customers of a class.

    Totals cover the time since the node started. Quantiles cover the time since the
    customer became one of the busiest; earlier values are in those of the other
    customers.
    """

    customer: CustomerName
    priority: PriorityClass
    first_token_ms: Quantiles
    token_gap_ms: Quantiles
    recomputed_tokens: Quantiles
    prompt_tokens: int
    cached_tokens: int
    hit_rate: float
    answers: int = 0
    """Dispatches that returned a first token."""
    is_rest: bool = False


class RefusalCount(msgspec.Struct, frozen=True):
    """How often one customer, or OTHER_CUSTOMERS, was refused for one reason."""

    customer: CustomerName
    error: ErrorKind
    count: int


class Statistics(msgspec.Struct, frozen=True):
    """All statistics of one node since it started."""

    groups: tuple[GroupStatistics, ...]
    refusals: tuple[RefusalCount, ...]


class _Totals(msgspec.Struct):
    """Counts of one customer and class. Totals only grow, while `recent` decays."""

    answers: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recent: float = 0.0

    def add(self, other: _Totals) -> None:
        """Add the totals of another customer."""
        self.answers += other.answers
        self.prompt_tokens += other.prompt_tokens
        self.cached_tokens += other.cached_tokens


class _Histograms:
    """Histograms of one customer and class, or of all other customers of a class."""

    __slots__ = ("first_token_ms", "recomputed_tokens", "token_gap_ms")

    def __init__(self) -> None:
        self.first_token_ms = HdrHistogram(1, _HIGHEST_MS, _DIGITS)
        self.token_gap_ms = HdrHistogram(1, _HIGHEST_MS, _DIGITS)
        self.recomputed_tokens = HdrHistogram(1, _HIGHEST_TOKENS, _DIGITS)

    def record(self, outcome: Outcome, waited_ms: float) -> None:
        """Record one ended dispatch."""
        if outcome.first_token_ms is not None:
            total_ms = waited_ms + outcome.first_token_ms
            _record(self.first_token_ms, total_ms, _HIGHEST_MS)
            gaps = outcome.completion_tokens - 1
            if gaps > 0:
                gap_ms = (outcome.duration_ms - outcome.first_token_ms) / gaps
                _record(self.token_gap_ms, gap_ms, _HIGHEST_MS)
        if outcome.prompt_tokens:
            recomputed = outcome.prompt_tokens - outcome.cached_tokens
            _record(self.recomputed_tokens, recomputed, _HIGHEST_TOKENS)

    def add(self, other: _Histograms) -> None:
        """Add the values of other histograms."""
        self.first_token_ms.add(other.first_token_ms)
        self.token_gap_ms.add(other.token_gap_ms)
        self.recomputed_tokens.add(other.recomputed_tokens)


class _ClassStatistics:
    """Statistics of one class.

    Invariant: at most MAX_DETAILED_CUSTOMERS customers have their own histograms, and
    each dispatch was recorded in one of them or in `rest`.
    """

    __slots__ = ("_records", "detailed", "rest", "totals")

    def __init__(self) -> None:
        self._records = 0
        self.detailed: dict[CustomerName, _Histograms] = {}
        self.rest = _Histograms()
        self.totals: dict[CustomerName, _Totals] = {}

    def record(
        self, customer: CustomerName, outcome: Outcome, waited_ms: float
    ) -> None:
        """Record one ended dispatch."""
        totals = self.totals.get(customer)
        if totals is None:
            totals = self.totals[customer] = _Totals()
        totals.recent += 1.0
        totals.answers += outcome.first_token_ms is not None
        totals.prompt_tokens += outcome.prompt_tokens
        totals.cached_tokens += outcome.cached_tokens if outcome.prompt_tokens else 0
        self._find_histograms(customer, totals).record(outcome, waited_ms)
        self._records += 1
        if self._records % _AGING_RECORDS == 0:
            for each in self.totals.values():
                each.recent /= 2

    def sum_rest(self) -> _Totals:
        """Return the totals of all customers without their own histograms."""
        found = _Totals()
        for customer, totals in self.totals.items():
            if customer not in self.detailed:
                found.add(totals)
        return found

    def _find_histograms(self, customer: CustomerName, totals: _Totals) -> _Histograms:
        found = self.detailed.get(customer)
        if found is not None:
            return found
        if len(self.detailed) >= MAX_DETAILED_CUSTOMERS:
            least_active = min(self.detailed, key=lambda each: self.totals[each].recent)
            if totals.recent <= _REPLACEMENT_FACTOR * self.totals[least_active].recent:
                return self.rest
            self.rest.add(self.detailed.pop(least_active))
        found = self.detailed[customer] = _Histograms()
        return found


class _Group(msgspec.Struct, frozen=True):
    """Histograms from which to compute quantiles, and the totals."""

    customer: CustomerName
    priority: PriorityClass
    histograms: _Histograms
    totals: _Totals


class StatisticsCollector:
    """Records outcomes and refusals.

    Invariant: whichever customers have their own histograms, the counts of all groups
    add up to what was recorded.
    """

    __slots__ = ("_classes", "_refusals")

    def __init__(self) -> None:
        self._classes: dict[PriorityClass, _ClassStatistics] = {}
        self._refusals: dict[tuple[CustomerName, ErrorKind], int] = {}

    def record_outcome(
        self,
        customer: CustomerName,
        priority: PriorityClass,
        outcome: Outcome,
        waited_ms: float,
    ) -> None:
        """Record one ended dispatch; `waited_ms` is the time before it."""
        class_statistics = self._classes.get(priority)
        if class_statistics is None:
            class_statistics = self._classes[priority] = _ClassStatistics()
        class_statistics.record(customer, outcome, waited_ms)

    def record_refusal(self, customer: CustomerName, error: ErrorKind) -> None:
        """Count one refusal."""
        key = (customer, error)
        if key not in self._refusals and len(self._refusals) >= MAX_REFUSAL_COUNTS:
            key = (OTHER_CUSTOMERS, error)
        self._refusals[key] = self._refusals.get(key, 0) + 1

    def list_refusals(self) -> tuple[RefusalCount, ...]:
        """Return the refusal counts by customer and reason."""
        return tuple(
            RefusalCount(customer, error, count)
            for (customer, error), count in sorted(self._refusals.items())
        )

    def iterate_groups(self) -> Iterator[GroupStatistics]:
        """Yield all groups, starting with those of other customers.

        Computing the quantiles of one group takes a tenth of a millisecond, so a reader
        can yield to other tasks of its thread between two groups.
        """
        rest = [
            _Group(
                OTHER_CUSTOMERS,
                priority,
                class_statistics.rest,
                class_statistics.sum_rest(),
            )
            for priority, class_statistics in self._classes.items()
            if len(class_statistics.totals) > len(class_statistics.detailed)
        ]
        # Listed before the first pause, so that the values of a customer that loses its
        # histograms meanwhile count in its own group only, not also in the rest.
        groups = rest + sorted(
            self._list_detailed(), key=lambda each: (each.customer, each.priority)
        )
        yield from map(_compute_group, groups)

    def iterate_busiest(self, limit: int) -> Iterator[GroupStatistics]:
        """Yield the groups with the most prompt tokens."""
        groups = heapq.nlargest(
            limit, self._list_detailed(), key=lambda group: group.totals.prompt_tokens
        )
        yield from map(_compute_group, groups)

    def _list_detailed(self) -> Sequence[_Group]:
        return [
            _Group(customer, priority, histograms, class_statistics.totals[customer])
            for priority, class_statistics in self._classes.items()
            for customer, histograms in class_statistics.detailed.items()
        ]


def _compute_group(group: _Group) -> GroupStatistics:
    totals, histograms = group.totals, group.histograms
    prompt_tokens = totals.prompt_tokens
    return GroupStatistics(
        customer=group.customer,
        priority=group.priority,
        first_token_ms=_compute_quantiles(histograms.first_token_ms),
        token_gap_ms=_compute_quantiles(histograms.token_gap_ms),
        recomputed_tokens=_compute_quantiles(histograms.recomputed_tokens),
        prompt_tokens=prompt_tokens,
        cached_tokens=totals.cached_tokens,
        hit_rate=totals.cached_tokens / prompt_tokens if prompt_tokens else 0.0,
        answers=totals.answers,
        is_rest=group.customer == OTHER_CUSTOMERS,
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
