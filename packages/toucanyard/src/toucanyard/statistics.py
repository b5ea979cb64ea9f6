"""Histograms for each customer and class: what the users measure.

Recorded where a dispatch ends; read by the operators' face and sent to statsd. The
busiest customers of each class have histograms of their own, the others share one.
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
"""Values are told apart by 6% or less; a second digit takes ten times the memory."""
_QUANTILES: Final = (50.0, 95.0, 99.0)
MAX_DETAILED_CUSTOMERS: Final = 64
"""Customers of one class with histograms of their own, 10 KB each."""
MAX_REFUSAL_COUNTS: Final = 4_096
"""Customers and reasons of refusals that are counted apart."""
OTHER_CUSTOMERS: Final = CustomerName("")
"""Stands for all customers without figures of their own; no customer has this name."""
_REPLACEMENT_FACTOR: Final = 2
"""How much busier a customer must be than the idlest to take its place."""
_AGING_RECORDS: Final = 10_000
"""After so many dispatches what went before counts half, to tell who is busy now."""


class Quantiles(msgspec.Struct, frozen=True):
    """Count and quantiles of one histogram."""

    count: int
    p50: float
    p95: float
    p99: float
    max: float


class GroupStatistics(msgspec.Struct, frozen=True):
    """What was measured for one customer and class, or for the rest of a class.

    Totals are since the node started; quantiles are since the customer was among the
    busiest, and what was recorded before is in those of the rest.
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
    """Dispatches that gave a first token."""
    is_rest: bool = False


class RefusalCount(msgspec.Struct, frozen=True):
    """How often one customer, or REST, was refused for one reason."""

    customer: CustomerName
    error: ErrorKind
    count: int


class Statistics(msgspec.Struct, frozen=True):
    """Everything one node has measured since it started."""

    groups: tuple[GroupStatistics, ...]
    refusals: tuple[RefusalCount, ...]


class _Totals(msgspec.Struct):
    """Counts of one customer and class; they only grow, but `recent` fades."""

    answers: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    recent: float = 0.0

    def add(self, other: _Totals) -> None:
        """Add another's counts."""
        self.answers += other.answers
        self.prompt_tokens += other.prompt_tokens
        self.cached_tokens += other.cached_tokens


class _Histograms:
    """Histograms of one customer and class, or of the rest of a class."""

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
        """Add all that another one recorded."""
        self.first_token_ms.add(other.first_token_ms)
        self.token_gap_ms.add(other.token_gap_ms)
        self.recomputed_tokens.add(other.recomputed_tokens)


class _ClassStatistics:
    """Figures of one class.

    Invariant: at most MAX_HELD customers have histograms, and each dispatch was
    recorded in one of them or in `rest`.
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
        """Return the totals of all customers without histograms of their own."""
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
    """Histograms to compute quantiles of, and the totals beside them."""

    customer: CustomerName
    priority: PriorityClass
    histograms: _Histograms
    totals: _Totals


class StatisticsCollector:
    """Record outcomes and refusals.

    Invariant: whichever customers have histograms of their own, the counts of all
    groups sum up to what was recorded.
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
        """Return how often each customer was refused, by reason."""
        return tuple(
            RefusalCount(customer, error, count)
            for (customer, error), count in sorted(self._refusals.items())
        )

    def iterate_groups(self) -> Iterator[GroupStatistics]:
        """Yield all groups, those of the rest first, one at a time.

        Quantiles of one group take a tenth of a millisecond, so a reader that shares
        its thread with others can let them run in between.
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
        # Listed before the first pause: what a customer that loses its place has
        # recorded until now is then in its own group only, not in the rest as well.
        groups = rest + sorted(
            self._list_detailed(), key=lambda each: (each.customer, each.priority)
        )
        yield from map(_compute_group, groups)

    def iterate_busiest(self, limit: int) -> Iterator[GroupStatistics]:
        """Yield the groups with the most prompt tokens, one at a time."""
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
