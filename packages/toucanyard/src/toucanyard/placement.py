"""Choose the endpoint of each request: where its prompt is warm and the wait short.

Each possible endpoint gets a score in milliseconds: the wait expected there, plus the
recomputation of the blocks it lacks at the pool's price. The endpoints scored are
those that hashing gives for the prompt's shared levels, those known to be warm, and a
random one. Hashing needs no shared state: nodes that have just started, or that saw
different events, still send one prefix to the same few endpoints.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.cache_view import CacheDump, CacheEvents, CacheView
from toucanyard.configuration import Endpoint, Pool, Service
from toucanyard.hot_prefixes import HotPrefixes
from toucanyard.load_view import LoadReport, LoadView
from toucanyard.names import EndpointName, Incarnation, RequestId
from toucanyard.rendezvous import EndpointRing
from toucanyard.requests import EndingSeen, ModelTarget, Outcome, Request

MAX_POOLS: Final = 64
USE_STEP: Final = 0.05
SECONDS: Final = 2
TURNOVER_S: Final = 10.0


class PlacementLimits(msgspec.Struct, frozen=True):
    """Bounds on what placement keeps, and prices that pools don't set."""

    max_blocks: int = 400_000
    """Blocks known over all endpoints; an endpoint gets an equal share."""
    max_prefixes: int = 20_000
    max_scored: int = 12
    doubtful_trust: float = 0.5
    """Chance that a block of a doubtful view is still there."""
    spread_price: float = 4.0
    """Price of a millisecond recomputed outside of a prefix's endpoints, on top."""
    evict_price: float = 4.0
    """Price of a millisecond recomputed where it evicts the whole cache in 10 s."""
    target_use: float = 0.4
    """Share of one replica that one prefix may use before it is widened."""
    dump_interval_ms: float = 1_000.0


class Score(msgspec.Struct, frozen=True):
    """Why one endpoint would be a good or bad choice; the least total wins."""

    endpoint: EndpointName
    total_ms: float
    queue_ms: float
    recompute_ms: float
    warm_blocks: int
    is_home: bool
    is_doubtful: bool
    load_age_ms: float


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


class EndpointView(msgspec.Struct):
    """What this node believes about one endpoint."""

    cache: CacheView
    load: LoadView
    asked_dump_ms: float = float("-inf")


class PoolUse(msgspec.Struct):
    """What one request of a pool uses of a replica, as moving means."""

    work_ms: float = 50.0
    duration_ms: float = 1_000.0

    def note_work(self, work_ms: float) -> None:
        """Take in the computation before a first token."""
        self.work_ms += USE_STEP * (work_ms - self.work_ms)

    def note_duration(self, duration_ms: float) -> None:
        """Take in the time from dispatch to the end of an answer."""
        self.duration_ms += USE_STEP * (duration_ms - self.duration_ms)

    def compute_share(self, slots: int) -> float:
        """Return how many replicas one request a second keeps busy."""
        return max(self.work_ms, self.duration_ms / slots) / 1_000


class _Home(msgspec.Struct, frozen=True):
    names: tuple[EndpointName, ...]
    depth: int
    seconds: tuple[EndpointName, ...] = ()

    def find_rank(self, name: EndpointName) -> float:
        if name in self.names:
            return 0.0
        return 0.25 if name in self.seconds else 1.0


class Placement:
    """Views of endpoints and the choice among them; owned by one task."""

    __slots__ = (
        "_limits",
        "_node_count",
        "_prefixes",
        "_ring",
        "_ring_of",
        "_rng",
        "_use",
        "_views",
    )

    def __init__(
        self, rng: random.Random, limits: PlacementLimits | None = None
    ) -> None:
        self._rng = rng
        self._limits = limits or PlacementLimits()
        self._prefixes = HotPrefixes(self._limits.max_prefixes)
        self._views: dict[EndpointName, EndpointView] = {}
        self._node_count = 1
        self._use: dict[str, PoolUse] = {}
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
        self._prefixes.note(target.chain, now_ms)
        home = self._find_home(ring, pool, target.chain, now_ms)
        names = self._find_scored(ring, home, target.chain)
        mean_ms = self._compute_mean_work(names, pool, now_ms)
        scores = [
            self._score(name, pool, target.chain, home, mean_ms, now_ms)
            for name in names
        ]
        scores.sort(key=lambda score: score.total_ms)
        best = scores[0]
        return Placed(
            endpoint=best.endpoint,
            incarnation=self._view(best.endpoint).cache.incarnation,
            queue_ms=best.queue_ms,
            first_token_ms=best.queue_ms + best.recompute_ms,
            level_depth=home.depth,
            width=len(home.names),
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
            request.request_id, work_ms, placed.first_token_ms, now_ms
        )
        if isinstance(request.target, ModelTarget):
            view.cache.touch(request.target.chain, now_ms)
            self._find_use(request.target.pool).note_work(work_ms)

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
        if outcome.ending == EndingSeen.COMPLETED and outcome.duration_ms > 0:
            use = self._find_use(request.target.pool)
            use.note_duration(outcome.duration_ms)
        if outcome.ending in (EndingSeen.NOT_SENT, EndingSeen.REFUSED):
            # Nothing was computed there: expecting its blocks would draw the prefix.
            view.cache.is_doubtful = True

    def apply_load(
        self, endpoint: EndpointName, report: LoadReport, now_ms: float
    ) -> None:
        """Take in a load report."""
        view = self._view(endpoint)
        if view.cache.note_incarnation(report.incarnation):
            view.load.apply_report(report, now_ms)

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

    def forget_endpoint(self, endpoint: EndpointName) -> None:
        """Drop all that is known about an endpoint that has gone."""
        self._views.pop(endpoint, None)

    def find_doubtful(self, now_ms: float) -> list[EndpointName]:
        """Return endpoints whose view needs a dump and was not asked for just now."""
        found: list[EndpointName] = []
        for name, view in self._views.items():
            view.cache.check_gap(now_ms)
            is_due = now_ms - view.asked_dump_ms >= self._limits.dump_interval_ms
            if view.cache.is_doubtful and is_due:
                found.append(name)
        return found

    def note_dump_asked(self, endpoint: EndpointName, now_ms: float) -> None:
        """Note that a dump has been asked for, so that it isn't asked again at once."""
        self._view(endpoint).asked_dump_ms = now_ms

    def _view(self, name: EndpointName) -> EndpointView:
        view = self._views.get(name)
        if view is None:
            share = max(self._limits.max_blocks // 16, 1)
            view = EndpointView(CacheView(share), LoadView())
            self._views[name] = view
        return view

    def _find_use(self, pool: str) -> PoolUse:
        if len(self._use) >= MAX_POOLS and pool not in self._use:
            self._use.clear()
        return self._use.setdefault(pool, PoolUse())

    def _find_ring(self, pool: str, candidates: Sequence[Endpoint]) -> EndpointRing:
        if self._ring_of.get(pool) is not candidates:
            if len(self._ring) >= MAX_POOLS:
                self._ring.clear()
                self._ring_of.clear()
            self._ring[pool] = EndpointRing([each.name for each in candidates])
            self._ring_of[pool] = candidates
        return self._ring[pool]

    def _find_home(
        self, ring: EndpointRing, pool: Pool, chain: Sequence[int], now_ms: float
    ) -> _Home:
        """Return the endpoints that hashing gives to the deepest shared prefix.

        Each level's endpoints are chosen among those of the level above, so a node
        that has not yet seen a deep level recur still sends to where its front is.
        """
        if not chain:
            return _Home((), 0)
        names = ring.find_neighbours(chain[0])
        levels = self._prefixes.find_levels(chain, now_ms)
        if not levels:
            ranked = ring.rank(names, chain[0])
            return _Home(tuple(ranked[:1]), 0, tuple(ranked[1:SECONDS]))
        share = self._find_use(pool.name).compute_share(pool.placement.max_running)
        share *= self._node_count / self._limits.target_use
        seconds: list[EndpointName] = []
        for level in levels:
            load = level.per_s * share
            width = self._prefixes.adjust_width(level.key, load, 1)
            ranked = ring.rank(names, level.key)
            if level is levels[0]:
                seconds = ranked[width : width + SECONDS - 1]
            names = ranked[:width]
        return _Home(tuple(names), levels[-1].depth, tuple(seconds))

    def _find_scored(
        self, ring: EndpointRing, home: _Home, chain: Sequence[int]
    ) -> list[EndpointName]:
        limit = self._limits.max_scored
        if len(ring.seeds) <= limit:
            return list(ring.seeds)
        key = chain[0] if chain else 0
        names = dict.fromkeys(home.names[: limit - 1])
        for name in ring.find_neighbours(key):
            if len(names) >= limit - 1:
                break
            names.setdefault(name)
        names.setdefault(self._rng.choice(list(ring.seeds)))
        return list(names)

    def _compute_mean_work(
        self, names: Sequence[EndpointName], pool: Pool, now_ms: float
    ) -> float:
        works = [self._compute_reported(self._view(name), pool) for name in names]
        return sum(works) / len(works)

    def _compute_reported(self, view: EndpointView, pool: Pool) -> float:
        policy = pool.placement
        slots = policy.max_running
        slot_ms = self._find_use(pool.name).duration_ms / slots
        return view.load.compute_reported_work(
            policy.prefill_ms_per_block, slots, slot_ms
        )

    def _score(
        self,
        name: EndpointName,
        pool: Pool,
        chain: Sequence[int],
        home: _Home,
        mean_ms: float,
        now_ms: float,
    ) -> Score:
        policy = pool.placement
        view = self._view(name)
        queue_ms = self._compute_queue(view, pool, mean_ms, now_ms)
        warm = view.cache.count_warm(chain)
        trust = self._limits.doubtful_trust if view.cache.is_doubtful else 1.0
        rank = home.find_rank(name)
        missing = len(chain) - warm * trust
        recompute_ms = missing * policy.prefill_ms_per_block
        recompute_ms *= view.load.compute_slowness(now_ms)
        price = policy.recompute_price
        price += self._limits.spread_price * rank
        price += self._limits.evict_price * self._compute_turnover(view, now_ms)
        return Score(
            endpoint=name,
            total_ms=queue_ms + recompute_ms * price,
            queue_ms=queue_ms,
            recompute_ms=recompute_ms,
            warm_blocks=warm,
            is_home=rank == 0,
            is_doubtful=view.cache.is_doubtful,
            load_age_ms=now_ms - view.load.measured_ms,
        )

    def _compute_queue(
        self, view: EndpointView, pool: Pool, mean_ms: float, now_ms: float
    ) -> float:
        load = view.load
        reported_ms = self._compute_reported(view, pool)
        trust = load.compute_trust(now_ms)
        work_ms = reported_ms * trust + mean_ms * (1.0 - trust)
        work_ms += load.compute_own_work(now_ms)
        return work_ms * load.compute_slowness(now_ms)

    def _compute_turnover(self, view: EndpointView, now_ms: float) -> float:
        report = view.load.report
        if report is None or not report.capacity_blocks:
            return 0.0
        return (
            view.cache.compute_stored_per_s(now_ms)
            * TURNOVER_S
            / report.capacity_blocks
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
