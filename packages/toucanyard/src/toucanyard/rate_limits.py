"""Compute what a limit over all nodes allows, and what one request costs.

A limit is a rate and a burst, counted in requests or tokens, of what a customer may
send or what a replica accepts. Its bounds say by how much the sum over all nodes may
exceed it within a window; the effects of network partitions have to fit in that margin.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

MARGIN_FRACTION: Final = 1 / 5
"""Fraction of a limit's margin that each of these may use: a request that takes the
bucket below zero, credit that was granted before a window began, and a second
coordinator that takes over within it."""
MIN_CREDIT_MS: Final = 300.0
MAX_CREDIT_MS: Final = 1_500.0
"""Minimum and maximum time to live of credit."""


class LimitUnit(enum.StrEnum):
    """What a limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    """Prompt tokens plus the maximum output tokens that a request asks for."""


class RateLimit(msgspec.Struct, frozen=True):
    """The rate limit of one customer or replica."""

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    plain_cost: float = 1.0
    """Cost of a request without a token count, where the unit is tokens."""

    def compute_cost(self, tokens: int | None) -> float:
        """Return a request's cost; `tokens` is None if it doesn't give a count."""
        match self.unit:
            case LimitUnit.REQUESTS:
                return 1.0
            case LimitUnit.TOKENS:
                return self.plain_cost if tokens is None else float(tokens)

    def compute_capacity(self) -> float:
        """Return the bucket's capacity, at least the cost of one request."""
        return max(self.burst, self.compute_cost(None))


class LimitBounds(msgspec.Struct, frozen=True):
    """By how much the sum over all nodes may exceed a limit within a window."""

    window_ms: float = 10_000.0
    overshoot: float = 0.1
    """Margin as a share of what the limit allows in a window."""
    slack: float = 0.0
    """Additional margin as an absolute amount, in the limit's unit."""
    max_credit_ms: float = MAX_CREDIT_MS
    spends_margin: bool = True
    """Whether the unused margin is granted in addition to the rate."""

    min_capacity: float = 0.0
    """Minimum capacity of a coordinator's bucket, however small its share. Where
    single requests are granted, a capacity below one would never allow any."""

    def compute_capacity(self, limit: RateLimit, share: float) -> float:
        """Return the bucket capacity of a coordinator with a share of a limit."""
        return max(limit.compute_capacity() * share, self.min_capacity)

    def compute_bound(self, limit: RateLimit) -> float:
        """Return the maximum that a customer may use in one window."""
        return self._compute_allowed(limit) + self._compute_margin(limit)

    def compute_rate(self, limit: RateLimit) -> float:
        """Return what a coordinator grants per second in the long term.

        It may add the unused margin to the rate. Otherwise a customer at its limit
        would be denied what the bound allows.
        """
        if not self.spends_margin:
            return limit.rate_per_s
        window_s = self.window_ms / 1_000
        spare = self._compute_margin(limit) * (1 - 2 * MARGIN_FRACTION)
        late_s = self.compute_credit_ms(limit) / 1_000
        return (limit.rate_per_s * window_s + spare) / (window_s + late_s)

    def compute_max_debt(self, limit: RateLimit) -> float:
        """Return how far below zero one request may take a bucket."""
        return self._compute_margin(limit) * MARGIN_FRACTION

    def compute_credit_ms(self, limit: RateLimit) -> float:
        """Return the time to live of credit from its request on, in ms."""
        ttl_s = self._compute_margin(limit) * MARGIN_FRACTION / limit.rate_per_s
        return min(max(ttl_s * 1_000, MIN_CREDIT_MS), self.max_credit_ms)

    def _compute_allowed(self, limit: RateLimit) -> float:
        return limit.rate_per_s * self.window_ms / 1_000 + limit.burst

    def _compute_margin(self, limit: RateLimit) -> float:
        return self._compute_allowed(limit) * self.overshoot + self.slack
