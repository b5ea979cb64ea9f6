"""Choose the endpoint of each request: where its prompt is warm and the wait short.

Each possible endpoint gets a score in milliseconds: the wait expected there, plus the
recomputation of the blocks it lacks at the pool's price. The endpoints scored are
those that hashing gives for the prompt's shared levels, those known to be warm, and a
random one. Hashing needs no shared state: nodes that have just started, or that saw
different events, still send one prefix to the same few endpoints.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence, Set

import msgspec

from toucanyard.cache_view import CacheDump, CacheEvents
from toucanyard.configuration import Endpoint, PlacementPolicy, Pool, Service
from toucanyard.endpoint_views import EndpointView, EndpointViews
from toucanyard.expected_blocks import compute_expected_share, expect_at_homes
from toucanyard.hot_prefixes import HotPrefixes
from toucanyard.load_view import LoadReport
from toucanyard.names import EndpointName, Incarnation, RequestId
from toucanyard.prefix_homes import MAX_POOLS, Homes, PoolUse, PoolUses, find_homes
from toucanyard.rendezvous import EndpointRing
from toucanyard.requests import (
    PROVEN_NOT_RUN,
    DispatchEnding,
    ModelTarget,
    Outcome,
    Request,
)
from toucanyard.scoring import (
    Considered,
    Prices,
    Score as Score,
    compute_scores,
)


class PlacementLimits(msgspec.Struct, frozen=True):
    """Bounds on what placement keeps, and prices that pools don't set."""

    max_blocks: int = 400_000
    """Blocks known over all endpoints; each gets a share."""
    max_prefixes: int = 20_000
    max_scored: int = 12
    target_use: float = 0.4
    """Share of one replica that one prefix may use before it is widened."""
    dump_interval_ms: float = 1_000.0
    prices: Prices = Prices()


class Placed(msgspec.Struct, frozen=True):
    """The endpoint chosen and why; `scores` starts with the chosen one."""

    endpoint: EndpointName
    incarnation: Incarnation | None
    queue_ms: float
    first_token_ms: float
    """Expected time from dispatch to the first token."""
    level_depth: int
    """Blocks of the shared prefix that hashing followed; 0 when none recurs."""
    width: int
    """Endpoints that the prefix is spread over."""
    scores: tuple[Score, ...]


class Placement:
    """Views of endpoints and the choice among them; owned by one task."""

    __slots__ = (
        "_began_ms",
        "_limits",
        "_node_count",
        "_prefixes",
        "_ring",
        "_ring_of",
        "_rng",
        "_uses",
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
        self._began_ms: float | None = None
        self._uses = PoolUses()
        self._ring: dict[str, EndpointRing] = {}
        self._ring_of: dict[str, Sequence[Endpoint]] = {}

    def apply_node_count(self, count: int) -> None:
        """Take over how many nodes share the requests, to tell the whole load."""
        self._node_count = max(count, 1)

    def choose(
        self,
        request: Request,
        pool: Pool,
        candidates: Sequence[Endpoint],
        now_ms: float,
    ) -> Placed | None:
        """Return the best candidate for a model request, or None without any.

        Pass the same sequence object while membership stays the same: then nothing
        is done for each endpoint of a large pool.
        """
        target = request.target
        if not candidates or not isinstance(target, ModelTarget):
            return None
        ring = self._find_ring(pool.name, candidates)
        keys = target.find_home_keys()
        self._prefixes.note(keys, now_ms)
        use = self._uses.get(pool.name)
        homes = self._find_homes(ring, pool, use, keys, now_ms)
        warm = self._count_warm(ring, homes, target, keys)
        considered = [
            self._consider(name, target, blocks, homes, pool.placement, use)
            for name, blocks in warm.items()
        ]
        blocks = len(target.chain)
        share = compute_expected_share(self._compute_age(now_ms), self._node_count)
        scores = compute_scores(
            expect_at_homes(considered, blocks, share),
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
            level_depth=homes.depth,
            width=len(homes.names),
            scores=tuple(scores),
        )

    def choose_service(
        self,
        request: Request,
        service: Service,
        candidates: Sequence[Endpoint],
        now_ms: float,
    ) -> Placed | None:
        """Return the less loaded of two random candidates, or None without any."""
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

    def note_dispatch(
        self, request: Request, placed: Placed, pool: Pool | None, now_ms: float
    ) -> None:
        """Count a request that is being sent and expect its blocks to be stored."""
        view = self._view(placed.endpoint)
        work_ms = placed.first_token_ms - placed.queue_ms
        view.load.note_dispatch(
            request.request_id,
            work_ms,
            placed.first_token_ms,
            now_ms,
            0.0 if pool is None else pool.placement.prefill_ms_per_block,
        )
        if isinstance(request.target, ModelTarget):
            view.cache.touch(view.find_chain(request.target), now_ms)
        if pool is not None:
            self._uses.get(pool.name).note_work(work_ms)

    def note_first_token(
        self,
        request_id: RequestId,
        endpoint: EndpointName,
        after_ms: float,
        now_ms: float,
    ) -> None:
        """Note the first token of a request and what it tells of the endpoint."""
        self._view(endpoint).load.note_first_token(request_id, after_ms, now_ms)

    def note_outcome(self, request: Request, outcome: Outcome, now_ms: float) -> None:
        """Remove a dispatch that is over and correct the view by what it showed."""
        view = self._view(outcome.endpoint)
        view.load.note_end(outcome.request_id)
        if outcome.incarnation is not None:
            view.cache.note_incarnation(outcome.incarnation)
        if not isinstance(request.target, ModelTarget):
            return
        if outcome.ending == DispatchEnding.COMPLETED and outcome.duration_ms > 0:
            use = self._uses.get(request.target.pool)
            use.note_duration(outcome.duration_ms)
        if outcome.ending in PROVEN_NOT_RUN:
            # Nothing was computed there: expecting its blocks would draw the prefix.
            view.cache.is_doubtful = True

    def apply_load(
        self, endpoint: EndpointName, report: LoadReport, now_ms: float
    ) -> None:
        """Take in a load report."""
        self._view(endpoint).apply_report(report, now_ms)

    def apply_cache_events(
        self, endpoint: EndpointName, events: CacheEvents, now_ms: float
    ) -> None:
        """Take in cache events, which may be late, repeated or incomplete."""
        self._view(endpoint).cache.apply_events(events, now_ms)

    def apply_cache_dump(
        self, endpoint: EndpointName, dump: CacheDump, now_ms: float
    ) -> None:
        """Replace the view of an endpoint's cache."""
        self._view(endpoint).cache.apply_dump(dump, now_ms)

    def note_incarnation(
        self, endpoint: EndpointName, incarnation: Incarnation
    ) -> None:
        """Forget the endpoint's blocks if it has been restarted."""
        self._view(endpoint).cache.note_incarnation(incarnation)

    def retain_endpoints(self, names: Set[EndpointName]) -> None:
        """Drop all that is known about other endpoints: they have gone."""
        self._views.retain(names)

    def find_doubtful(
        self, followed: Iterable[EndpointName], now_ms: float
    ) -> list[EndpointName]:
        """Return which of some endpoints need a dump and weren't asked for just now.

        Only of engines whose events this node follows: the others' views have no gaps,
        and a large fleet would be asked for thousands of lists a second.
        """
        found: list[EndpointName] = []
        for name in followed:
            view = self._views.find(name)
            if view is None:
                continue
            view.cache.check_gap(now_ms)
            is_due = now_ms - view.asked_dump_ms >= self._limits.dump_interval_ms
            if view.cache.is_doubtful and is_due:
                found.append(name)
        return found

    def count_blocks(self) -> int:
        """Return how many blocks are known over all endpoints."""
        return self._views.count_blocks()

    def note_dump_asked(self, endpoint: EndpointName, now_ms: float) -> None:
        """Note that a dump has been asked for, so that it isn't asked again at once."""
        self._view(endpoint).asked_dump_ms = now_ms

    def _compute_age(self, now_ms: float) -> float:
        if self._began_ms is None:
            self._began_ms = now_ms
        return max(now_ms - self._began_ms, 0.0)

    def _view(self, name: EndpointName) -> EndpointView:
        return self._views.get(name)

    def _find_ring(self, pool: str, candidates: Sequence[Endpoint]) -> EndpointRing:
        if self._ring_of.get(pool) is not candidates:
            if len(self._ring) >= MAX_POOLS:
                self._ring.clear()
                self._ring_of.clear()
            self._ring[pool] = EndpointRing([each.name for each in candidates])
            self._ring_of[pool] = candidates
        return self._ring[pool]

    def _find_homes(
        self,
        ring: EndpointRing,
        pool: Pool,
        use: PoolUse,
        keys: Sequence[int],
        now_ms: float,
    ) -> Homes:
        share = use.compute_share(pool.placement.max_running)
        load_per_s = share * self._node_count / self._limits.target_use
        return find_homes(ring, self._prefixes, keys, load_per_s, now_ms)

    def _count_warm(
        self,
        ring: EndpointRing,
        homes: Homes,
        target: ModelTarget,
        keys: Sequence[int],
    ) -> dict[EndpointName, int]:
        """Return the endpoints to score and how many blocks each has warm."""
        limit = self._limits.max_scored
        names = ring.names
        if len(names) > limit:
            names = ring.rank_neighbours(keys[0] if keys else 0)
        warm = {name: self._view(name).count_warm(target) for name in names}
        if len(ring.names) <= limit:
            return warm
        chosen = (*homes.names, *homes.seconds)[: limit // 2]
        warmest = sorted(names, key=lambda name: -warm[name])[: limit // 2]
        picked = dict.fromkeys((*chosen, *warmest, self._rng.choice(ring.names)))
        return {
            name: warm[name] if name in warm else self._view(name).count_warm(target)
            for name in picked
        }

    def _consider(
        self,
        name: EndpointName,
        target: ModelTarget,
        warm_blocks: int,
        homes: Homes,
        policy: PlacementPolicy,
        use: PoolUse,
    ) -> Considered:
        view = self._view(name)
        slots = policy.max_running
        reported_ms = view.load.compute_reported_work(
            policy.prefill_ms_per_block, slots, use.duration_ms / slots
        )
        trust = self._limits.prices.doubtful_trust
        chain = view.find_chain(target)
        rank = homes.find_rank(name)
        return Considered(
            name=name,
            view=view,
            warm_blocks=warm_blocks,
            believed_blocks=view.cache.compute_believed(chain, warm_blocks, trust),
            rank=rank,
            reported_ms=reported_ms,
            is_widened_home=rank == 0 and len(homes.names) > 1,
            has_old_weights=view.has_other_weights(target),
        )

    def _score_service(self, name: EndpointName, now_ms: float) -> Score:
        view = self._view(name)
        report = view.load.report
        running = 0 if report is None else report.running
        fresh = sum(
            own.sent_ms > view.load.measured_ms for own in view.load.own.values()
        )
        total_ms = (running + fresh) * view.load.compute_slowness(now_ms)
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
