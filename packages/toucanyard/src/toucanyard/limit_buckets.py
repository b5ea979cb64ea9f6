"""Grant credit for limits from token buckets, as their coordinator.

Each subject of a limit, a customer or a replica, has a bucket. It refills at the
limit's rate, scaled by the share delegated to this coordinator, up to the burst. A
request is granted while the level is not negative, and may take it below zero. So long
prompts are served beside short ones, and the debt is refilled before the next grant.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from toucanyard.limit_delegations import DelegationTable, find_partition
from toucanyard.rate_limits import LimitBounds, RateLimit
from toucanyard.scarce_credit.account_keys import MAX_RANK
from toucanyard.scarce_credit.urgent_demand import UrgentDemand

MAJORITY: Final = 0.5
"""Share above which no other coordinator can have as much of the same limit."""
MAX_BACKLOG_S: Final = 2.0
"""Maximum backlog of denied requests that retry delays account for."""


class CreditGrant(msgspec.Struct, frozen=True):
    """A coordinator's answer to a node's credit request."""

    granted: float
    denial_ms: float
    """Time until the coordinator grants credit again; 0 if it does now."""
    retry_ms: float
    """The same, after all requests that were recently denied."""


class BucketUsage(msgspec.Struct, frozen=True):
    """A coordinator's statistics of one subject, for operators."""

    subject: str
    rate_per_s: float
    level: float
    """Credit available now; negative while in debt."""
    share: float
    granted_total: float
    denied_total: float
    reserved: float
    """Credit that the least urgent requests leave to others."""


class _Bucket:
    """One subject's bucket. Invariant: its level never exceeds its capacity."""

    __slots__ = (
        "backlog",
        "demand",
        "denied_total",
        "granted_total",
        "level",
        "limit",
        "rate_per_s",
        "settled_s",
    )

    def __init__(self, limit: RateLimit, rate_per_s: float) -> None:
        self.limit = limit
        self.rate_per_s = rate_per_s
        self.level = 0.0
        self.settled_s = 0.0
        self.backlog = 0.0
        """Recently denied credit that the rate has not yet made up for."""
        self.granted_total = 0.0
        self.denied_total = 0.0
        self.demand = UrgentDemand()

    def settle(self, accrued_s: float, capacity: float) -> None:
        """Refill by what has accrued since the last call, up to the capacity."""
        earned = (accrued_s - self.settled_s) * self.rate_per_s
        self.settled_s = accrued_s
        self.backlog = max(self.backlog - earned, 0.0)
        self.level = min(self.level + earned, capacity)


class LimitBuckets:
    """The buckets of all subjects that this node coordinates."""

    __slots__ = ("_bounds", "_buckets", "_delegations")

    def __init__(self, bounds: LimitBounds, delegations: DelegationTable) -> None:
        self._bounds = bounds
        self._delegations = delegations
        self._buckets: dict[str, _Bucket] = {}

    def drop_partitions(self, numbers: list[int]) -> None:
        """Drop the buckets of partitions that are no longer delegated to this node."""
        if not self._buckets:
            return
        lost = set(numbers)
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if find_partition(name) not in lost
        }

    def apply_limits(
        self, find_limit: Callable[[str], RateLimit | None], shares: Sequence[float]
    ) -> None:
        """Apply changed limits; credit accrued so far is kept."""
        for subject, bucket in list(self._buckets.items()):
            limit = find_limit(subject)
            if limit == bucket.limit:
                continue
            if limit is None or limit.unit is not bucket.limit.unit:
                del self._buckets[subject]
                continue
            number = find_partition(subject)
            accrued_s = self._delegations.find_accrued_s(number)
            saved = self._bounds.compute_capacity(bucket.limit, shares[number])
            bucket.settle(accrued_s, saved)
            bucket.limit = limit
            bucket.rate_per_s = self._bounds.compute_rate(limit)
            capacity = self._bounds.compute_capacity(limit, shares[number])
            bucket.level = min(bucket.level, capacity)

    def grant(
        self,
        subject: str,
        limit: RateLimit,
        wanted: float,
        least: float,
        share: float,
        denied: float = 0.0,
        rank: int = 0,
    ) -> CreditGrant:
        """Grant as much as fits of `wanted`, either at least `least` or nothing.

        `denied` is what the same node was last denied and now requests again at this
        rank. What more urgent requests are expected to need is left to them.
        """
        bucket = self._find_bucket(subject, limit, share)
        debt = self._bounds.compute_max_debt(limit)
        if share <= MAJORITY:
            debt *= share
        now_s = bucket.settled_s
        capacity = self._bounds.compute_capacity(limit, share)
        reserve = bucket.demand.compute_reserve(rank, capacity, now_s)
        needed = max(least - debt, 0.0)
        spendable = bucket.level + debt
        if reserve:
            # A debt would make the more urgent requests wait.
            needed = max(needed, min(least + reserve, capacity))
            spendable = max(bucket.level - reserve, least)
        rate_per_s = bucket.rate_per_s * share
        if bucket.level < needed:
            denial_ms = (needed - bucket.level) / rate_per_s * 1_000
            retry_ms = denial_ms + bucket.backlog / rate_per_s * 1_000
            most = bucket.rate_per_s * MAX_BACKLOG_S
            added = max(wanted - denied, 0.0)
            bucket.backlog = min(bucket.backlog + added, most)
            bucket.denied_total += added
            bucket.demand.record(rank, added, 0.0, now_s)
            return CreditGrant(0.0, denial_ms, retry_ms)
        granted = min(wanted, spendable)
        bucket.demand.record(rank, max(wanted - denied, 0.0), granted, now_s)
        bucket.level -= granted
        bucket.granted_total += granted
        denial_ms = max(-bucket.level, 0.0) / rate_per_s * 1_000
        return CreditGrant(granted, denial_ms, denial_ms)

    def return_credit(
        self, subject: str, limit: RateLimit, credit: float, share: float
    ) -> None:
        """Return unused credit to a bucket."""
        bucket = self._find_bucket(subject, limit, share)
        capacity = self._bounds.compute_capacity(limit, share)
        bucket.level = min(bucket.level + credit, max(capacity, bucket.level))
        bucket.granted_total -= credit

    def list_usage(self, shares: Sequence[float]) -> list[BucketUsage]:
        """Return the statistics of each subject."""
        return [
            BucketUsage(
                name,
                bucket.limit.rate_per_s,
                bucket.level,
                shares[find_partition(name)],
                bucket.granted_total,
                bucket.denied_total,
                bucket.demand.compute_reserve(
                    MAX_RANK,
                    self._bounds.compute_capacity(
                        bucket.limit, shares[find_partition(name)]
                    ),
                    bucket.settled_s,
                ),
            )
            for name, bucket in self._buckets.items()
        ]

    def _find_bucket(self, subject: str, limit: RateLimit, share: float) -> _Bucket:
        bucket = self._buckets.get(subject)
        if bucket is None:
            bucket = self._buckets[subject] = _Bucket(
                limit, self._bounds.compute_rate(limit)
            )
        accrued_s = self._delegations.find_accrued_s(find_partition(subject))
        bucket.settle(accrued_s, self._bounds.compute_capacity(bucket.limit, share))
        return bucket
