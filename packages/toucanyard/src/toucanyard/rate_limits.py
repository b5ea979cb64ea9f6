"""Know what a limit over all nodes allows, and what one request costs.

A limit is a rate and a burst, counted in requests or in tokens: of what a customer may
send, or of what a replica takes. Whoever sets it also says by how much the sum over all
nodes may pass it within a window; what nodes do that can't see each other has to fit in
there.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

MARGIN_FRACTION: Final = 1 / 5
"""Part of a limit's margin that each of these may take: a request that goes below zero,
credit that was granted before a window began, a second home that takes over in it."""
MIN_CREDIT_MS: Final = 300.0
MAX_CREDIT_MS: Final = 1_500.0
"""Least and longest life of credit."""


class LimitUnit(enum.StrEnum):
    """What a limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    """Prompt tokens and the most output tokens that a request asks for."""


class RateLimit(msgspec.Struct, frozen=True):
    """The limit of one customer or replica, in its unit."""

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    plain_cost: float = 1.0
    """Cost of a request that says nothing of tokens, where tokens are counted."""

    def compute_cost(self, tokens: int | None) -> float:
        """Return what a request costs; `tokens` is None if it doesn't say."""
        match self.unit:
            case LimitUnit.REQUESTS:
                return 1.0
            case LimitUnit.TOKENS:
                return self.plain_cost if tokens is None else float(tokens)

    def compute_capacity(self) -> float:
        """Return what may be saved up; one request at least."""
        return max(self.burst, self.compute_cost(None))


class LimitBounds(msgspec.Struct, frozen=True):
    """By how much the sum over all nodes may pass a limit within a window."""

    window_ms: float = 10_000.0
    overshoot: float = 0.1
    """Share of what the limit allows in a window."""
    slack: float = 0.0
    """The same as an absolute figure, in the unit of the limit."""
    max_credit_ms: float = MAX_CREDIT_MS
    spends_margin: bool = True
    """Whether what is left of the margin is granted on top of the rate."""

    min_capacity: float = 0.0
    """What a home may save up however small its share is. Where single requests are
    granted, less than one would never do."""

    def compute_capacity(self, limit: RateLimit, share: float) -> float:
        """Return what a home with a share of a limit may save up."""
        return max(limit.compute_capacity() * share, self.min_capacity)

    def compute_bound(self, limit: RateLimit) -> float:
        """Return the most that may run of a customer in one window."""
        return self._compute_allowed(limit) + self._compute_margin(limit)

    def compute_rate(self, limit: RateLimit) -> float:
        """Return what a home grants each second, over time.

        It may be the rate and what is left of the margin: a customer at its limit would
        else be refused what the bound allows.
        """
        if not self.spends_margin:
            return limit.rate_per_s
        window_s = self.window_ms / 1_000
        spare = self._compute_margin(limit) * (1 - 2 * MARGIN_FRACTION)
        late_s = self.compute_credit_ms(limit) / 1_000
        return (limit.rate_per_s * window_s + spare) / (window_s + late_s)

    def compute_max_debt(self, limit: RateLimit) -> float:
        """Return how far below zero one request may take a customer."""
        return self._compute_margin(limit) * MARGIN_FRACTION

    def compute_credit_ms(self, limit: RateLimit) -> float:
        """Return for how long credit may be used once it was asked for, in ms."""
        life_s = self._compute_margin(limit) * MARGIN_FRACTION / limit.rate_per_s
        return min(max(life_s * 1_000, MIN_CREDIT_MS), self.max_credit_ms)

    def _compute_allowed(self, limit: RateLimit) -> float:
        return limit.rate_per_s * self.window_ms / 1_000 + limit.burst

    def _compute_margin(self, limit: RateLimit) -> float:
        return self._compute_allowed(limit) * self.overshoot + self.slack
