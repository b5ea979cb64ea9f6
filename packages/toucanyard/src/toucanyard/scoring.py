"""Score endpoints in milliseconds: expected wait and priced recomputation."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.configuration import PlacementPolicy
from toucanyard.endpoint_views import EndpointView
from toucanyard.names import EndpointName

TURNOVER_S: Final = 10.0
"""Time in which replacing the whole cache counts as a turnover of 1."""


class Prices(msgspec.Struct, frozen=True):
    """Prices that pools don't set."""

    doubtful_trust: float = 0.5
    """Probability that a block of a doubtful view is still cached."""
    spread_price: float = 6.0
    """Additional price per millisecond recomputed outside a prefix's preferred
    endpoints."""
    evict_price: float = 4.0
    """Additional price per millisecond recomputed, times the cache turnover."""
    old_weights_price: float = 12.0
    """Additional price per millisecond recomputed under weights that are about to be
    replaced."""
    widening_discount: float = 4.0
    """Discount on the price at the preferred endpoints of a prefix that has several."""


class Score(msgspec.Struct, frozen=True, gc=False):
    """Why one endpoint would be a good or bad choice; the lowest total wins."""

    endpoint: EndpointName
    total_ms: float
    queue_ms: float
    recompute_ms: float
    warm_blocks: int
    is_home: bool
    is_doubtful: bool
    load_age_ms: float


class EndpointCandidate(msgspec.Struct, frozen=True):
    """An endpoint that may be chosen, and the facts looked up about it."""

    name: EndpointName
    view: EndpointView
    warm_blocks: int
    believed_blocks: float
    """Cached blocks to count on; fewer than known if the view is doubtful."""
    rank: float
    reported_ms: float
    """Wait that its last report predicts."""
    is_one_of_several: bool
    """Whether it is one of several preferred endpoints."""
    has_old_weights: bool
    """Whether it runs other weights than the desired ones."""


def compute_scores(
    considered: Sequence[EndpointCandidate],
    blocks: int,
    policy: PlacementPolicy,
    prices: Prices,
    now_ms: float,
) -> list[Score]:
    """Return the score of each endpoint, best first."""
    mean_ms = sum(each.reported_ms for each in considered) / len(considered)
    scores = [
        compute_score(each, blocks, policy, prices, mean_ms, now_ms)
        for each in considered
    ]
    scores.sort(key=lambda score: score.total_ms)
    return scores


def compute_score(
    considered: EndpointCandidate,
    blocks: int,
    policy: PlacementPolicy,
    prices: Prices,
    mean_ms: float,
    now_ms: float,
) -> Score:
    """Return the score of one endpoint; `mean_ms` is the mean wait over all reports."""
    load = considered.view.load
    slowness = load.compute_slowness(now_ms)
    trust = load.compute_trust(now_ms)
    queue_ms = considered.reported_ms * trust + mean_ms * (1.0 - trust)
    queue_ms = (queue_ms + load.compute_own_work()) * slowness
    missing = blocks - considered.believed_blocks
    recompute_ms = missing * policy.prefill_ms_per_block * slowness
    price = policy.recompute_price + prices.spread_price * considered.rank
    price += prices.evict_price * compute_turnover(considered.view, now_ms)
    if considered.is_one_of_several:
        # The prefix that an additional preferred endpoint computes is used by all later
        # requests. At the full price requests would queue at the first one, up to 12 s
        # for a prompt of 180 blocks, beside an idle second one.
        price = max(price - prices.widening_discount, 1.0)
    if considered.has_old_weights:
        # Blocks under old weights are lost within seconds and computed again under the
        # new ones. Without this price, the prefixes of each replica that loads weights
        # are computed twice more.
        price += prices.old_weights_price
    return Score(
        endpoint=considered.name,
        total_ms=queue_ms + recompute_ms * price,
        queue_ms=queue_ms,
        recompute_ms=recompute_ms,
        warm_blocks=considered.warm_blocks,
        is_home=considered.rank == 0,
        is_doubtful=considered.view.cache.is_doubtful,
        load_age_ms=now_ms - load.measured_ms,
    )


def compute_turnover(view: EndpointView, now_ms: float) -> float:
    """Return how many times the endpoint's cache is replaced within TURNOVER_S."""
    report = view.load.report
    if report is None or not report.capacity_blocks:
        return 0.0
    stored = view.cache.compute_stored_per_s(now_ms) * TURNOVER_S
    return stored / report.capacity_blocks
