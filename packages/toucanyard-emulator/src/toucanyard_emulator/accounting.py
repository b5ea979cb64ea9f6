"""Compute the worth earned by calls, per kind and time window, and causes of loss."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

import msgspec

from toucanyard_emulator.arrivals import Arrival
from toucanyard_emulator.scenario import Objective, Prices

WINDOW_MS: Final = 2_000.0
WORST_WINDOWS: Final = 2
MIN_WINDOW_SHARE: Final = 0.3
"""Windows with less than this share of the mean worth are ignored as too sparse."""


class Cause(enum.StrEnum):
    """Why a call earned less than its worth; each loss has exactly one cause."""

    REPLICA_LOST = "replica lost"
    NODE_GONE = "node gone"
    REFUSED = "refused"
    NODE_QUEUE = "waited at the node"
    EARLIER_ATTEMPTS = "tried elsewhere"
    RETRY_DELAY = "came back"
    REPLICA_QUEUE = "waited at the replica"
    PROMPT_READ = "prompt read"
    STREAM_PAUSED = "stream paused"
    OLD_WEIGHTS = "old weights"
    WEIGHTS_CHANGED = "weights changed under it"
    OTHER = "other"


class CallOutcome(msgspec.Struct, frozen=True):
    """The outcome of a call for its caller."""

    arrival: Arrival
    is_served: bool
    is_late: bool
    cause: Cause | None
    latency_ms: float
    """Time until the first event, or until the response of a plain call."""
    outdated_share: float = 0.0
    """Share of its worth that is deducted because it ran on outdated weights."""
    consistent_share: float = 1.0
    """Share of its output that was generated on the weights it was started on."""

    def compute_earned_worth(self) -> float:
        """Return the worth earned, before deductions for outdated weights."""
        if not self.is_served:
            return 0.0
        kind = self.arrival.kind
        earned = self.arrival.worth
        if self.is_late:
            earned *= kind.late_worth / kind.worth
        return earned


class ResourceCounts(msgspec.Struct):
    """Usage of resources that have a price."""

    loads: int = 0
    orders: int = 0
    connections: int = 0
    store_calls: int = 0
    reread_tokens: int = 0
    moved_bytes: float = 0.0
    crashes: int = 0
    """Engines that were crashed by a request."""


class Result(msgspec.Struct, frozen=True):
    """The result of a run; worth, prices and causes are shares of the total worth."""

    worth: float
    whole: float
    worst_windows: float
    worst_kind: float
    prices: dict[str, float]
    kinds: dict[str, float]
    windows: tuple[float, ...]
    causes: dict[str, float]
    """Share of the worth lost by each cause; the shares add up to the total loss."""
    served: int
    late: int
    failed: int
    counts: ResourceCounts


def compute_result(
    outcomes: Iterable[CallOutcome],
    counts: ResourceCounts,
    goal: Objective,
    prices: Prices,
) -> Result:
    """Aggregate the outcomes of a run into its result."""
    owed, earned = 0.0, 0.0
    by_kind: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    by_window: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    causes: dict[str, float] = defaultdict(float)
    old, changed = 0.0, 0.0
    tally = [0, 0, 0]
    for each in outcomes:
        arrival, call_worth = each.arrival, each.compute_earned_worth()
        owed += arrival.worth
        earned += call_worth
        for sums in (
            by_kind[arrival.kind.name],
            by_window[int(arrival.at_ms // WINDOW_MS)],
        ):
            sums[0] += call_worth
            sums[1] += arrival.worth
        if each.cause is not None:
            causes[each.cause.value] += arrival.worth - call_worth
        old += call_worth * each.outdated_share
        changed += call_worth * (1.0 - each.consistent_share)
        tally[0] += each.is_served
        tally[1] += each.is_served and each.is_late
        tally[2] += not each.is_served
    deductions = _compute_price_shares(counts, prices, old, changed, max(owed, 1e-9))
    kinds = {name: sums[0] / sums[1] for name, sums in sorted(by_kind.items())}
    windows = _compute_window_shares(by_window)
    whole = earned / max(owed, 1e-9)
    worst = sorted(windows)[:WORST_WINDOWS] or [0.0]
    worst_windows = sum(worst) / len(worst)
    worst_kind = min(kinds.values(), default=0.0)
    worth = goal.whole * whole + goal.windows * worst_windows + goal.kinds * worst_kind
    causes[Cause.OLD_WEIGHTS.value] += old
    causes[Cause.WEIGHTS_CHANGED.value] += changed
    return Result(
        worth=worth - sum(deductions.values()),
        whole=whole,
        worst_windows=worst_windows,
        worst_kind=worst_kind,
        prices=deductions,
        kinds=kinds,
        windows=tuple(windows),
        causes={name: lost / max(owed, 1e-9) for name, lost in sorted(causes.items())},
        served=tally[0],
        late=tally[1],
        failed=tally[2],
        counts=counts,
    )


def _compute_window_shares(by_window: dict[int, list[float]]) -> list[float]:
    if not by_window:
        return []
    mean = sum(sums[1] for sums in by_window.values()) / len(by_window)
    return [
        by_window[number][0] / by_window[number][1]
        for number in sorted(by_window)
        if by_window[number][1] >= MIN_WINDOW_SHARE * mean
    ]


def _compute_price_shares(
    counts: ResourceCounts, prices: Prices, old: float, changed: float, owed: float
) -> dict[str, float]:
    deductions = {
        "loads": counts.loads * prices.load,
        "orders": counts.orders * prices.order,
        "read again": counts.reread_tokens / 1_000 * prices.reread_per_1k_tokens,
        "connections": counts.connections * prices.connection,
        "store calls": counts.store_calls * prices.store_call,
        "moved": counts.moved_bytes / 1e9 * prices.moved_gb,
        "old weights": old,
        "weights changed": changed,
    }
    return {name: price / owed for name, price in deductions.items()}
