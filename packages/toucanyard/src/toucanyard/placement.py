"""Choose the endpoint of each request by cached prefix and expected wait.

Each considered endpoint gets a score in milliseconds: the expected wait, plus the
recomputation of missing blocks at the pool's price. Considered are the endpoints that
hashing selects for the prompt's shared levels, those known to have the prefix cached,
and a random one. Hashing needs no shared state: nodes that have just started, or that
saw different events, still send one prefix to the same few endpoints.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence, Set

import msgspec

from toucanyard.cache_view import CacheDump, CacheEvents
from toucanyard.configuration import Endpoint, PlacementPolicy, Pool, Service
from toucanyard.endpoint_views import EndpointView, EndpointViews
from toucanyard.expected_blocks import compute_expected_share, expect_at_preferred
from toucanyard.hot_prefixes import HotPrefixes
from toucanyard.load_view import LoadReport
from toucanyard.names import EndpointName, Incarnation, RequestId
from toucanyard.preferred_endpoints import (
    MAX_POOLS,
    PoolRequestCost,
    PoolRequestCosts,
    PreferredEndpoints,
    find_preferred_endpoints,
)
from toucanyard.rendezvous import EndpointRing
from toucanyard.requests import (
    PROVEN_NOT_RUN,
    DispatchEnding,
    ModelTarget,
    Outcome,
    Request,
)
from toucanyard.scoring import (
    EndpointCandidate,
    Prices,
    Score as Score,
    compute_scores,
)


class PlacementLimits(msgspec.Struct, frozen=True):
    """Limits on the state of placement, and prices that pools don't set."""

    max_blocks: int = 400_000
    """Limit on known blocks over all endpoints; each endpoint gets a share."""
    max_prefixes: int = 20_000
    max_scored: int = 12
    target_use: float = 0.4
    """Share of one replica that a prefix may use before it is widened."""
    dump_interval_ms: float = 1_000.0
    prices: Prices = Prices()


class Placed(msgspec.Struct, frozen=True):
    """The chosen endpoint and the reasons; `scores` starts with the chosen one."""

    endpoint: EndpointName
    incarnation: Incarnation | None
    queue_ms: float
    first_token_ms: float
    """Expected time from dispatch to the first token."""
    level_depth: int
    """Depth in blocks of the shared prefix whose hash was used; 0 if none recurs."""
    width: int
    """Number of endpoints that the prefix is spread over."""
    scores: tuple[Score, ...]


class Placement:
    """Chooses endpoints based on views of them; owned by one task."""

    __slots__ = (
        "_started_ms",
        "_limits",
        "_node_count",
        "_prefixes",
        "_rings",
        "_ring_endpoints",
        "_rng",
        "_request_costs",
        "_views",
    )

    def __init__(
        self, rng: random.Random, limits: PlacementLimits | None = None
    ) -> None:
        self._rng = rng
        self._limits = limits or PlacementLimits()
        self._prefixes = HotPrefixes(self._limits.max_prefixes)
        self._views = EndpointViews(self._limits.max_blocks)
        self._node_count = 1
        self._started_ms: float | None = None
        self._request_costs = PoolRequestCosts()
        self._rings: dict[str, EndpointRing] = {}
        self._ring_endpoints: dict[str, Sequence[Endpoint]] = {}

    def apply_node_count(self, count: int) -> None:
        """Set the number of nodes that share the requests, to scale the load."""
        self._node_count = max(count, 1)

    def choose(
        self,
        request: Request,
        pool: Pool,
        candidates: Sequence[Endpoint],
        now_ms: float,
    ) -> Placed | None:
        """Return the best candidate for a model request, or None if there is none.

        Pass the same sequence object while membership is unchanged: placement then does
        no work per endpoint of a large pool.
        """
        target = request.target
        if not candidates or not isinstance(target, ModelTarget):
            return None
        ring = self._find_ring(pool.name, candidates)
        keys = target.find_affinity_keys()
        self._prefixes.record(keys, now_ms)
        request_cost = self._request_costs.get(pool.name)
        preferred = self._find_preferred(ring, pool, request_cost, keys, now_ms)
        warm = self._count_warm(ring, preferred, target, keys)
        considered = [
            self._build_candidate(
                name, target, blocks, preferred, pool.placement, request_cost
            )
            for name, blocks in warm.items()
        ]
        blocks = len(target.chain)
        share = compute_expected_share(self._compute_age(now_ms), self._node_count)
        scores = compute_scores(
            expect_at_preferred(considered, blocks, share),
            blocks,
            pool.placement,
            self._limits.prices,
            now_ms,
        )
        best = scores[0]
        return Placed(
            endpoint=best.endpoint,
            incarnation=self._view(best.endpoint).cache.incarnation,
            queue_ms=best.queue_ms,
            first_token_ms=best.queue_ms + best.recompute_ms,
            level_depth=preferred.depth,
            width=len(preferred.names),
            scores=tuple(scores),
        )

    def choose_service(
        self,
        request: Request,
        service: Service,
        candidates: Sequence[Endpoint],
        now_ms: float,
    ) -> Placed | None:
        """Return the less loaded of two random candidates, or None if there is none."""
        if not candidates:
            return None
        picked = self._rng.sample(list(candidates), min(2, len(candidates)))
        scores = [self._score_service(each.name, now_ms) for each in picked]
        scores.sort(key=lambda score: score.total_ms)
        best = scores[0]
        return Placed(
            endpoint=best.endpoint,
            incarnation=self._view(best.endpoint).cache.incarnation,
            queue_ms=best.queue_ms,
            first_token_ms=best.queue_ms,
            level_depth=0,
            width=len(candidates),
            scores=tuple(scores),
        )

    def record_dispatch(
        self, request: Request, placed: Placed, pool: Pool | None, now_ms: float
    ) -> None:
        """Count a request that is being sent and expect its blocks to be stored."""
        view = self._view(placed.endpoint)
        work_ms = placed.first_token_ms - placed.queue_ms
        view.load.record_dispatch(
            request.request_id,
            work_ms,
            placed.first_token_ms,
            now_ms,
            0.0 if pool is None else pool.placement.prefill_ms_per_block,
        )
        if isinstance(request.target, ModelTarget):
            view.cache.touch(view.find_chain(request.target), now_ms)
        if pool is not None:
            self._request_costs.get(pool.name).record_work(work_ms)

    def record_first_token(
        self,
        request_id: RequestId,
        endpoint: EndpointName,
        after_ms: float,
        now_ms: float,
    ) -> None:
        """Record the first token of a request, which shows the endpoint's speed."""
        self._view(endpoint).load.record_first_token(request_id, after_ms, now_ms)

    def record_dispatch_end(
        self, request: Request, outcome: Outcome, now_ms: float
    ) -> None:
        """Remove a finished dispatch and correct the view by its outcome."""
        view = self._view(outcome.endpoint)
        view.load.record_end(outcome.request_id)
        if outcome.incarnation is not None:
            view.cache.record_incarnation(outcome.incarnation)
        if not isinstance(request.target, ModelTarget):
            return
        if outcome.ending == DispatchEnding.COMPLETED and outcome.duration_ms > 0:
            request_cost = self._request_costs.get(request.target.pool)
            request_cost.record_duration(outcome.duration_ms)
        if outcome.ending in PROVEN_NOT_RUN:
            # Nothing was computed there; expecting its blocks would attract the prefix.
            view.cache.is_doubtful = True

    def apply_load(
        self, endpoint: EndpointName, report: LoadReport, now_ms: float
    ) -> None:
        """Apply a load report."""
        self._view(endpoint).apply_report(report, now_ms)

    def apply_cache_events(
        self, endpoint: EndpointName, events: CacheEvents, now_ms: float
    ) -> None:
        """Apply cache events, which may be late, repeated or incomplete."""
        self._view(endpoint).cache.apply_events(events, now_ms)

    def apply_cache_dump(
        self, endpoint: EndpointName, dump: CacheDump, now_ms: float
    ) -> None:
        """Replace the view of an endpoint's cache."""
        self._view(endpoint).cache.apply_dump(dump, now_ms)

    def record_incarnation(
        self, endpoint: EndpointName, incarnation: Incarnation
    ) -> None:
        """Forget the endpoint's blocks if it has been restarted."""
        self._view(endpoint).cache.record_incarnation(incarnation)

    def retain_endpoints(self, names: Set[EndpointName]) -> None:
        """Forget all other endpoints: they are gone."""
        self._views.retain(names)

    def find_doubtful(
        self, followed: Iterable[EndpointName], now_ms: float
    ) -> list[EndpointName]:
        """Return the endpoints that need a dump and had no request for one recently.

        Only followed engines count: the views of others have no gaps, and a large fleet
        would get requests for thousands of dumps per second.
        """
        found: list[EndpointName] = []
        for name in followed:
            view = self._views.find(name)
            if view is None:
                continue
            view.cache.check_gap(now_ms)
            is_due = now_ms - view.dump_requested_ms >= self._limits.dump_interval_ms
            if view.cache.is_doubtful and is_due:
                found.append(name)
        return found

    def count_blocks(self) -> int:
        """Return the number of known blocks over all endpoints."""
        return self._views.count_blocks()

    def record_dump_request(self, endpoint: EndpointName, now_ms: float) -> None:
        """Record that a dump has been requested, to limit the rate of requests."""
        self._view(endpoint).dump_requested_ms = now_ms

    def _compute_age(self, now_ms: float) -> float:
        if self._started_ms is None:
            self._started_ms = now_ms
        return max(now_ms - self._started_ms, 0.0)

    def _view(self, name: EndpointName) -> EndpointView:
        return self._views.get(name)

    def _find_ring(self, pool: str, candidates: Sequence[Endpoint]) -> EndpointRing:
        if self._ring_endpoints.get(pool) is not candidates:
            if len(self._rings) >= MAX_POOLS:
                self._rings.clear()
                self._ring_endpoints.clear()
            self._rings[pool] = EndpointRing([each.name for each in candidates])
            self._ring_endpoints[pool] = candidates
        return self._rings[pool]

    def _find_preferred(
        self,
        ring: EndpointRing,
        pool: Pool,
        request_cost: PoolRequestCost,
        keys: Sequence[int],
        now_ms: float,
    ) -> PreferredEndpoints:
        share = request_cost.compute_share(pool.placement.max_running)
        load_per_s = share * self._node_count / self._limits.target_use
        return find_preferred_endpoints(ring, self._prefixes, keys, load_per_s, now_ms)

    def _count_warm(
        self,
        ring: EndpointRing,
        preferred: PreferredEndpoints,
        target: ModelTarget,
        keys: Sequence[int],
    ) -> dict[EndpointName, int]:
        """Return the endpoints to score and the number of cached blocks of each."""
        limit = self._limits.max_scored
        names = ring.names
        if len(names) > limit:
            names = ring.rank_neighbours(keys[0] if keys else 0)
        warm = {name: self._view(name).count_warm(target) for name in names}
        if len(ring.names) <= limit:
            return warm
        chosen = (*preferred.names, *preferred.fallbacks)[: limit // 2]
        warmest = sorted(names, key=lambda name: -warm[name])[: limit // 2]
        picked = dict.fromkeys((*chosen, *warmest, self._rng.choice(ring.names)))
        return {
            name: warm[name] if name in warm else self._view(name).count_warm(target)
            for name in picked
        }

    def _build_candidate(
        self,
        name: EndpointName,
        target: ModelTarget,
        warm_blocks: int,
        preferred: PreferredEndpoints,
        policy: PlacementPolicy,
        request_cost: PoolRequestCost,
    ) -> EndpointCandidate:
        view = self._view(name)
        slots = policy.max_running
        reported_ms = view.load.compute_reported_work(
            policy.prefill_ms_per_block, slots, request_cost.duration_ms / slots
        )
        trust = self._limits.prices.doubtful_trust
        chain = view.find_chain(target)
        rank = preferred.find_rank(name)
        return EndpointCandidate(
            name=name,
            view=view,
            warm_blocks=warm_blocks,
            believed_blocks=view.cache.compute_believed(chain, warm_blocks, trust),
            rank=rank,
            reported_ms=reported_ms,
            is_one_of_several=rank == 0 and len(preferred.names) > 1,
            has_old_weights=view.has_other_weights(target),
        )

    def _score_service(self, name: EndpointName, now_ms: float) -> Score:
        view = self._view(name)
        report = view.load.report
        running = 0 if report is None else report.running
        unreported = sum(
            own.sent_ms > view.load.measured_ms for own in view.load.own.values()
        )
        total_ms = (running + unreported) * view.load.compute_slowness(now_ms)
        return Score(
            endpoint=name,
            total_ms=total_ms,
            queue_ms=total_ms,
            recompute_ms=0.0,
            warm_blocks=0,
            is_home=False,
            is_doubtful=False,
            load_age_ms=now_ms - view.load.measured_ms,
        )
