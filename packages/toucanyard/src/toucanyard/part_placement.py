"""Choose the replica of a prompt, and where it gets the parts that it lacks.

Each replica gets a score in milliseconds: the reading queued there, the parts that it
would have to read, and prices on what costs others: reading a part again that another
replica is reading, old weights, recent failures. A part that any replica holds is
fetched from there, which takes a hundredth of the time that reading takes. Hashing
breaks ties, so that nodes which know nothing of each other still send a cold part to
one replica.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.candidates import (
    MIN_MOVED_TOKENS,
    Candidate,
    Narrowing,
    is_many,
)
from toucanyard.fetch_sources import Source, Sources
from toucanyard.names import Address, EndpointName, RequestId
from toucanyard.part_book import Part, PartBook
from toucanyard.part_sources import choose_store, name_store
from toucanyard.relay_policy import PlacementPolicy
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replica_uses import ReplicaUses
from toucanyard.replicas import KnownReplica
from toucanyard.routes import EngineTraits, PromptStore
from toucanyard.target_weights import TargetWeights

FULL_SHARE: Final = 0.92
"""Share of a replica's memory that calls may take together; beyond it the engine drops
running ones and reads them again."""
LATE_AFTER_MS: Final = 1_200.0
"""Time from naming weights until answers on older ones lose worth, less a margin."""
MIN_FOLLOWED_TOKENS: Final = 1_000
MAX_FOLLOW_MS: Final = 400.0
"""How long a call waits for a part that another replica reads: a long part takes 70 to
120 ms, and its first call may itself have waited. Then it is sent all the same."""
CROSS_MS: Final = 250.0
"""Price of a replica that is left to the other kind. An event of seven tokens waits for
a piece of a long prompt before each of them, 0.8 s in all, when two long prompts are
read in a row. A call that finds its own side full still goes across."""


class PlacedPrompt(msgspec.Struct, frozen=True):
    """The replica chosen for a prompt, and what decided."""

    replica: KnownReplica
    weights_version: int
    scope: str
    total_ms: float
    wait_ms: float
    unread_tokens: int
    fetched_tokens: int
    source: Address | None
    considered: int
    missing: Part | None
    """The first part that others share and that the replica is to read."""


class _Scored(msgspec.Struct, frozen=True):
    """A candidate with its score, the lowest of which wins."""

    candidate: Candidate
    total_ms: float
    wait_ms: float
    unread_tokens: int
    fetched_tokens: int
    missing: Part | None
    """The first shared part that nobody holds yet."""


class _Field(msgspec.Struct):
    """What is looked up once for all candidates of one prompt.

    With every candidate looking at every other one, a choice among 70 took 5 ms.
    """

    prompt: Prompt
    shared: tuple[Part, ...]
    engine: EngineTraits
    target: TargetWeights | None
    candidates: list[Candidate]
    sources: dict[str, Sources]
    """By scope."""
    stores: Sequence[PromptStore]
    own_side: list[Candidate]
    """The candidates that are left to prompts of this one's length."""
    own_names: frozenset[EndpointName]
    is_many: bool
    homes: dict[str, Candidate] = {}
    readers: dict[tuple[str, str], list[EndpointName]] = {}
    """By scope and part: the replicas that are reading it."""


def compute_scope(request: RelayRequest, prompt: Prompt, version: int) -> str:
    """Return under which name a replica keeps the parts of a prompt.

    It names the weights, so nothing that was read under others is ever used, and the
    customer where it is behind a wall.
    """
    wall = request.customer if request.is_walled else ""
    return f"{prompt.model}/{version}/{wall}"


class PartPlacement:
    """The choice among replicas that run a model."""

    __slots__ = ("_book", "_max_old_ms", "_narrowing", "_policy", "_uses")

    def __init__(
        self,
        book: PartBook,
        uses: ReplicaUses,
        max_old_ms: float,
        policy: PlacementPolicy = PlacementPolicy(),  # noqa: B008
    ) -> None:
        self._policy = policy
        self._book = book
        self._uses = uses
        self._narrowing = Narrowing()
        self._max_old_ms = max_old_ms
        """How long after new weights were named older ones may still begin a call."""

    def choose(
        self,
        request: RelayRequest,
        prompt: Prompt,
        engine: EngineTraits,
        usable: Sequence[KnownReplica],
        target: TargetWeights | None,
        stores: Sequence[PromptStore],
        now_ms: float,
        *,
        may_follow: bool = True,
    ) -> PlacedPrompt | None:
        """Return the best replica with room, or None if the call has to wait.

        `may_follow` tells whether it may wait for what another replica reads.
        """
        candidates = self._find_candidates(request, prompt, usable, target, now_ms)
        shared = prompt.find_shared()
        sources = self._find_sources(candidates, shared, engine, stores, now_ms)
        own_side = self._narrowing.find_side(candidates, prompt)
        own_names = frozenset(each.known.replica.name for each in own_side)
        field = _Field(
            prompt,
            shared,
            engine,
            target,
            candidates,
            sources,
            stores,
            own_side,
            own_names,
            is_many(candidates),
        )
        first: Sequence[Candidate] = ()
        if is_many(candidates):
            first = self._narrowing.find_first(own_side, prompt, request.request_id)
        best = self._find_best(first, field, now_ms)
        if best is None:
            best = self._find_best(candidates, field, now_ms)
        if best is None:
            return None
        if may_follow and self._should_follow(best, field, request, now_ms):
            return None
        placed = _build_placed(best, field, request.request_id)
        if not self._policy.fetches:
            return msgspec.structs.replace(placed, source=None)
        return placed

    def _find_best(
        self, candidates: Iterable[Candidate], field: _Field, now_ms: float
    ) -> _Scored | None:
        best: _Scored | None = None
        for each in candidates:
            scored = self._score(each, field, now_ms)
            if scored is not None and (best is None or scored.total_ms < best.total_ms):
                best = scored
        return best

    def _should_follow(
        self, scored: _Scored, field: _Field, request: RelayRequest, now_ms: float
    ) -> bool:
        """Tell whether a call should wait for a part that another replica reads now.

        Sent elsewhere it would read the part again, for more than its lateness costs;
        sent to the reader, all calls of a hot part would queue at one of many replicas.
        """
        part = scored.missing
        if part is None or not field.is_many or part.tokens < MIN_FOLLOWED_TOKENS:
            return False
        if now_ms - request.arrived_ms > MAX_FOLLOW_MS:
            return False
        candidate = scored.candidate
        name = candidate.known.replica.name
        readers = self._find_readers(field, candidate.scope, part, now_ms)
        return bool(readers) and name not in readers

    def _find_candidates(
        self,
        request: RelayRequest,
        prompt: Prompt,
        usable: Sequence[KnownReplica],
        target: TargetWeights | None,
        now_ms: float,
    ) -> list[Candidate]:
        shared = prompt.find_shared()
        found = []
        for known in usable:
            version = known.weights.get(prompt.model)
            if version is None or self._is_too_old(version, target, now_ms):
                continue
            scope = compute_scope(request, prompt, version)
            name = known.replica.name
            held = self._book.count_leading(name, scope, shared, float("inf"))
            found.append(Candidate(known, version, scope, held))
        return found

    def _is_too_old(
        self, version: int, target: TargetWeights | None, now_ms: float
    ) -> bool:
        return (
            target is not None
            and target.compute_age(version, now_ms) > self._max_old_ms
        )

    def _find_sources(
        self,
        candidates: Sequence[Candidate],
        shared: Sequence[Part],
        engine: EngineTraits,
        stores: Sequence[PromptStore],
        now_ms: float,
    ) -> dict[str, Sources]:
        """Return, for each scope, who holds most of a prompt's front now."""
        found: dict[str, Sources] = {each.scope: Sources() for each in candidates}
        if not self._policy.fetches:
            return found
        for each in candidates:
            replica = each.known.replica
            held = self._book.count_leading(replica.name, each.scope, shared, now_ms)
            source = Source(
                replica.name, replica.address, engine.link_mbps, replica.domain
            )
            found[each.scope].note(source, held)
        for store in stores:
            name = name_store(store)
            source = Source(name, store.address, store.link_mbps, store.domain)
            for scope, sources in found.items():
                held = self._book.count_leading(name, scope, shared, now_ms)
                sources.note(source, held)
        return found

    def _score(
        self, candidate: Candidate, field: _Field, now_ms: float
    ) -> _Scored | None:
        name = candidate.known.replica.name
        engine = field.engine
        use = self._uses.compute(name, now_ms)
        total_tokens = field.prompt.count_tokens()
        needed = total_tokens + field.prompt.max_output_tokens
        is_full = use.tokens + needed > engine.memory_tokens * FULL_SHARE
        if use.running and (is_full or use.running >= engine.slots):
            return None
        sources = field.sources[candidate.scope]
        covered = max(candidate.held_tokens, sources.tokens)
        fetched = max(sources.tokens - candidate.held_tokens, 0)
        unread = total_tokens - covered
        speed = self._uses.tokens_per_ms
        wait_ms = use.unread_tokens / speed + use.running * self._policy.running_ms
        read_ms = unread / speed
        total_ms = wait_ms + read_ms * (1.0 + use.running * self._policy.pause_share)
        total_ms += self._price(candidate, field.target, now_ms)
        if name not in field.own_names:
            total_ms += CROSS_MS
        total_ms += sources.compute_price(fetched, candidate.known.replica, engine)
        missing = _find_missing(field.shared, covered)
        if missing is not None:
            total_ms += self._price_missing(candidate, field, missing, covered, now_ms)
        return _Scored(candidate, total_ms, wait_ms, unread, fetched, missing)

    def _price(
        self, candidate: Candidate, target: TargetWeights | None, now_ms: float
    ) -> float:
        price_ms = self._policy.failure_ms * candidate.known.compute_failures(now_ms)
        if target is not None and candidate.version < target.version:
            is_late = target.compute_age(candidate.version, now_ms) > LATE_AFTER_MS
            policy = self._policy
            price_ms += policy.late_weights_ms if is_late else policy.old_weights_ms
        return price_ms

    def _price_missing(
        self,
        candidate: Candidate,
        field: _Field,
        missing: Part,
        covered: int,
        now_ms: float,
    ) -> float:
        """Return the price of reading the rest of the shared parts at a replica."""
        price_ms = 0.0
        if not field.is_many and candidate is not _find_home(field, missing):
            price_ms += self._policy.affinity_ms
        readers = self._find_readers(field, candidate.scope, missing, now_ms)
        if any(name != candidate.known.replica.name for name in readers):
            # Among many replicas others read the rest of a chain seldom.
            shared = (
                missing.tokens
                if field.is_many
                else field.prompt.count_shared() - covered
            )
            price_ms += shared * self._policy.reread_ms_per_token
        return price_ms

    def _find_readers(
        self, field: _Field, scope: str, part: Part, now_ms: float
    ) -> list[EndpointName]:
        """Return the replicas that are reading a part now."""
        key = (scope, part.name)
        readers = field.readers.get(key)
        if readers is None:
            readers = field.readers[key] = [
                each.known.replica.name
                for each in field.candidates
                if each.scope == scope
                and self._book.is_being_read(
                    each.known.replica.name, scope, part, now_ms
                )
            ]
        return readers


def _build_placed(
    scored: _Scored, field: _Field, request_id: RequestId
) -> PlacedPrompt:
    candidate = scored.candidate
    address = _find_source(scored, field, request_id)
    return PlacedPrompt(
        replica=candidate.known,
        weights_version=candidate.version,
        scope=candidate.scope,
        total_ms=scored.total_ms,
        wait_ms=scored.wait_ms,
        unread_tokens=scored.unread_tokens,
        fetched_tokens=scored.fetched_tokens,
        source=address,
        considered=len(field.candidates),
        missing=scored.missing,
    )


def _find_source(
    scored: _Scored, field: _Field, request_id: RequestId
) -> Address | None:
    """Return where a replica can get parts that it lacks, known or guessed.

    A wrong guess costs about a millisecond. Among many replicas a source is named also
    where the candidate should hold everything: it may have dropped parts since, and
    would read them again.
    """
    candidate, missing = scored.candidate, scored.missing
    if scored.fetched_tokens:
        sources = field.sources[candidate.scope]
        source = sources.pick(candidate.known.replica, request_id)
        if source is not None:
            return source.address
    if field.is_many:
        if field.prompt.count_shared() < MIN_MOVED_TOKENS:
            return None
        domain = candidate.known.replica.domain
        store = choose_store(field.stores, field.shared[-1].name, domain)
        if store is not None:
            return store.address
    if missing is None:
        return None
    # Other nodes send it where hashing says.
    home = _find_home(field, missing)
    is_other = home is not candidate and home.scope == candidate.scope
    return home.known.replica.address if is_other else None


def _find_missing(shared: Sequence[Part], covered: int) -> Part | None:
    """Return the first shared part that is not among the covered tokens."""
    tokens = 0
    for part in shared:
        tokens += part.tokens
        if tokens > covered:
            return part
    return None


def _find_home(field: _Field, part: Part) -> Candidate:
    """Return the replica that hashing gives to a part, the same on every node."""
    home = field.homes.get(part.name)
    if home is None:
        key = compute_seed(EndpointName(part.name))
        home = max(
            field.own_side,
            key=lambda each: compute_weight(compute_seed(each.known.replica.name), key),
        )
        field.homes[part.name] = home
    return home
