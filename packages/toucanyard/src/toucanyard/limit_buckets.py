"""Give out credit for limits: what a home does.

The level of a limit's subject, a customer or a replica, rises with its rate as far as
its shares are pledged to this home, up to its burst. A request is granted while the
level is not negative, and may take it below zero: long prompts get their turn beside
short ones, and what is owed is paid off before the next request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from toucanyard.limit_delegations import DelegationTable, find_partition
from toucanyard.rate_limits import LimitBounds, RateLimit

MAJORITY: Final = 0.5
"""Share above which no other home can have as much of the same limit."""
MAX_BACKLOG_S: Final = 2.0
"""Longest backlog of denied requests that callers are told to wait for."""


class CreditGrant(msgspec.Struct, frozen=True):
    """What a home answers to a node that asks for credit."""

    granted: float
    closed_ms: float
    """Time until the home grants anything again; 0 if it does now."""
    retry_ms: float
    """The same behind all requests that were denied lately."""


class BucketUsage(msgspec.Struct, frozen=True):
    """What a home knows of one subject, for operators."""

    subject: str
    rate_per_s: float
    level: float
    """What may run now; negative while something is owed."""
    share: float
    granted_total: float
    denied_total: float


class _Bucket:
    """One subject's level. Invariant: it never exceeds what may be saved up."""

    __slots__ = (
        "backlog",
        "denied_total",
        "granted_total",
        "limit",
        "rate_per_s",
        "settled_s",
        "value",
    )

    def __init__(self, limit: RateLimit, rate_per_s: float) -> None:
        self.limit = limit
        self.rate_per_s = rate_per_s
        self.value = 0.0
        self.settled_s = 0.0
        self.backlog = 0.0
        """What was denied lately, as far as the rate has not made up for it."""
        self.granted_total = 0.0
        self.denied_total = 0.0

    def settle(self, accrued_s: float, capacity: float) -> None:
        """Add what has accrued since the last time, up to what may be saved up."""
        earned = (accrued_s - self.settled_s) * self.rate_per_s
        self.settled_s = accrued_s
        self.backlog = max(self.backlog - earned, 0.0)
        self.value = min(self.value + earned, capacity)


class LimitBuckets:
    """The levels of all subjects of which this node is the home."""

    __slots__ = ("_bounds", "_levels", "_delegations")

    def __init__(self, bounds: LimitBounds, delegations: DelegationTable) -> None:
        self._bounds = bounds
        self._delegations = delegations
        self._levels: dict[str, _Bucket] = {}

    def drop_partitions(self, numbers: list[int]) -> None:
        """Drop the levels of slices that are no longer pledged to this node."""
        if not self._levels:
            return
        lost = set(numbers)
        self._levels = {
            name: level
            for name, level in self._levels.items()
            if find_partition(name) not in lost
        }

    def apply_limits(
        self, find_limit: Callable[[str], RateLimit | None], shares: Sequence[float]
    ) -> None:
        """Let changed limits be in force; what was earned before is kept."""
        for subject, level in list(self._levels.items()):
            limit = find_limit(subject)
            if limit == level.limit:
                continue
            if limit is None or limit.unit is not level.limit.unit:
                del self._levels[subject]
                continue
            number = find_partition(subject)
            accrued_s = self._delegations.find_accrued_s(number)
            saved = self._bounds.compute_capacity(level.limit, shares[number])
            level.settle(accrued_s, saved)
            level.limit = limit
            level.rate_per_s = self._bounds.compute_rate(limit)
            capacity = self._bounds.compute_capacity(limit, shares[number])
            level.value = min(level.value, capacity)

    def grant(
        self,
        subject: str,
        limit: RateLimit,
        wanted: float,
        least: float,
        share: float,
        denied: float = 0.0,
    ) -> CreditGrant:
        """Grant what fits of some requests, at least the first of them or nothing.

        `denied` is what the same node was denied last, which it asks for again.
        """
        level = self._find_level(subject, limit, share)
        debt = self._bounds.compute_max_debt(limit)
        if share <= MAJORITY:
            debt *= share
        needed = max(least - debt, 0.0)
        rate_per_s = level.rate_per_s * share
        if level.value < needed:
            closed_ms = (needed - level.value) / rate_per_s * 1_000
            retry_ms = closed_ms + level.backlog / rate_per_s * 1_000
            most = level.rate_per_s * MAX_BACKLOG_S
            added = max(wanted - denied, 0.0)
            level.backlog = min(level.backlog + added, most)
            level.denied_total += added
            return CreditGrant(0.0, closed_ms, retry_ms)
        granted = min(wanted, level.value + debt)
        level.value -= granted
        level.granted_total += granted
        closed_ms = max(-level.value, 0.0) / rate_per_s * 1_000
        return CreditGrant(granted, closed_ms, closed_ms)

    def return_credit(
        self, subject: str, limit: RateLimit, credit: float, share: float
    ) -> None:
        """Take back credit that was granted and not used."""
        level = self._find_level(subject, limit, share)
        capacity = self._bounds.compute_capacity(limit, share)
        level.value = min(level.value + credit, max(capacity, level.value))
        level.granted_total -= credit

    def list_usage(self, shares: Sequence[float]) -> list[BucketUsage]:
        """Return what is known of each subject."""
        return [
            BucketUsage(
                name,
                level.limit.rate_per_s,
                level.value,
                shares[find_partition(name)],
                level.granted_total,
                level.denied_total,
            )
            for name, level in self._levels.items()
        ]

    def _find_level(self, subject: str, limit: RateLimit, share: float) -> _Bucket:
        level = self._levels.get(subject)
        if level is None:
            level = self._levels[subject] = _Bucket(
                limit, self._bounds.compute_rate(limit)
            )
        accrued_s = self._delegations.find_accrued_s(find_partition(subject))
        level.settle(accrued_s, self._bounds.compute_capacity(level.limit, share))
        return level
