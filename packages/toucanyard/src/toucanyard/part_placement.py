"""Choose the replica of a prompt, and where it gets the parts that it lacks.

Each replica gets a score in milliseconds: the reading queued there, the parts that it
would have to read, and prices on what costs others: reading a part again that another
replica is reading, old weights, recent failures. A part that any replica holds is
fetched from there, which takes a hundredth of the time that reading takes. Hashing
breaks ties, so that nodes which know nothing of each other still send a cold part to
one replica.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.names import Address, DomainName, EndpointName
from toucanyard.part_book import Part, PartBook
from toucanyard.part_sources import choose_store, name_store
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replica_uses import ReplicaUses
from toucanyard.replicas import KnownReplica
from toucanyard.routes import EngineTraits, PromptStore
from toucanyard.weights_goals import Goal

FULL_SHARE: Final = 0.92
"""Share of a replica's memory that calls may take together; beyond it the engine drops
running ones and reads them again."""
AFFINITY_MS: Final = 40.0
"""Wait that a cold prompt accepts to be read where hashing sends it."""
REREAD_MS_PER_TOKEN: Final = 0.1
"""Price of reading a part that another replica is reading now: about as much of an
answer's worth is lost by it as by so many milliseconds."""
FAILURE_MS: Final = 150.0
"""Price of each recent failure of a replica."""
OLD_WEIGHTS_MS: Final = 60.0
"""Price of a replica that still has older weights, which are replaced soon."""
LATE_WEIGHTS_MS: Final = 1_500.0
"""The same, once answers on older weights have lost a part of their worth."""
LATE_AFTER_MS: Final = 1_200.0
"""Time from naming weights until answers on older ones lose worth, less a margin."""
RUNNING_MS: Final = 1.0
"""Price of each call that runs at a replica: it slows the others' tokens."""
MANY_REPLICAS: Final = 16
"""Replicas beyond which load sends many parts elsewhere than hashing does. What nobody
is known to hold is then fetched from its store on a guess."""
FAR_FACTOR: Final = 2.0
"""How much longer a transfer between failure domains takes."""
PAUSE_SHARE: Final = 0.1
"""Price, for each stream that runs at a replica, of the time that it pauses while a
prompt is read there. Without it one replica reads long prompts all the time and its
streams' events come too late."""


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
    has_missing: bool
    """Whether the replica is to read parts that others share."""


class _Source(msgspec.Struct, frozen=True):
    """Where parts can be fetched, and how many tokens of a prompt's front."""

    name: EndpointName = EndpointName("")
    address: Address | None = None
    tokens: int = 0
    link_mbps: float = 1.0
    domain: DomainName = DomainName("")


class _Candidate(msgspec.Struct, frozen=True):
    known: KnownReplica
    version: int
    scope: str
    held_tokens: int
    """Tokens of the prompt's front that it holds or will soon."""


class _Field(msgspec.Struct):
    """What is looked up once for all candidates of one prompt.

    With every candidate looking at every other one, a choice among 70 took 5 ms.
    """

    prompt: Prompt
    shared: tuple[Part, ...]
    engine: EngineTraits
    goal: Goal | None
    candidates: list[_Candidate]
    sources: dict[str, list[_Source]]
    """By scope: the two that hold most, best first; one may be the candidate itself."""
    home_store: PromptStore | None
    """Where the prompt's shared parts are kept beside the replicas."""
    homes: dict[str, _Candidate] = {}


def compute_scope(request: RelayRequest, prompt: Prompt, version: int) -> str:
    """Return under which name a replica keeps the parts of a prompt.

    It names the weights, so nothing that was read under others is ever used, and the
    customer where it is behind a wall.
    """
    wall = request.customer if request.is_walled else ""
    return f"{prompt.model}/{version}/{wall}"


class PartPlacement:
    """The choice among replicas that run a model."""

    __slots__ = ("_book", "_max_old_ms", "_uses")

    def __init__(self, book: PartBook, uses: ReplicaUses, max_old_ms: float) -> None:
        self._book = book
        self._uses = uses
        self._max_old_ms = max_old_ms
        """How long after new weights were named older ones may still begin a call."""

    def choose(
        self,
        request: RelayRequest,
        prompt: Prompt,
        engine: EngineTraits,
        usable: Sequence[KnownReplica],
        goal: Goal | None,
        stores: Sequence[PromptStore],
        now_ms: float,
    ) -> PlacedPrompt | None:
        """Return the best replica with room, or None if the call has to wait."""
        candidates = self._find_candidates(request, prompt, usable, goal, now_ms)
        shared = prompt.find_shared()
        sources = self._find_sources(candidates, shared, engine, stores, now_ms)
        home_store = choose_store(stores, shared[-1].name) if shared else None
        field = _Field(prompt, shared, engine, goal, candidates, sources, home_store)
        best: PlacedPrompt | None = None
        for each in candidates:
            placed = self._score(each, field, now_ms)
            if placed is not None and (best is None or placed.total_ms < best.total_ms):
                best = placed
        return best

    def _find_candidates(
        self,
        request: RelayRequest,
        prompt: Prompt,
        usable: Sequence[KnownReplica],
        goal: Goal | None,
        now_ms: float,
    ) -> list[_Candidate]:
        shared = prompt.find_shared()
        found = []
        for known in usable:
            version = known.weights.get(prompt.model)
            if version is None or self._is_too_old(version, goal, now_ms):
                continue
            scope = compute_scope(request, prompt, version)
            name = known.replica.name
            held = self._book.count_leading(name, scope, shared, float("inf"))
            found.append(_Candidate(known, version, scope, held))
        return found

    def _is_too_old(self, version: int, goal: Goal | None, now_ms: float) -> bool:
        return goal is not None and goal.compute_age(version, now_ms) > self._max_old_ms

    def _find_sources(
        self,
        candidates: Sequence[_Candidate],
        shared: Sequence[Part],
        engine: EngineTraits,
        stores: Sequence[PromptStore],
        now_ms: float,
    ) -> dict[str, list[_Source]]:
        """Return, for each scope, who holds most of a prompt's front now."""
        found: dict[str, list[_Source]] = {}
        for each in candidates:
            replica = each.known.replica
            held = self._book.count_leading(replica.name, each.scope, shared, now_ms)
            source = _Source(
                replica.name, replica.address, held, engine.link_mbps, replica.domain
            )
            found.setdefault(each.scope, []).append(source)
        for scope, sources in found.items():
            for store in stores:
                name = name_store(store)
                held = self._book.count_leading(name, scope, shared, now_ms)
                sources.append(
                    _Source(name, store.address, held, store.link_mbps, store.domain)
                )
            sources.sort(key=lambda source: -source.tokens)
            del sources[2:]
        return found

    def _score(
        self, candidate: _Candidate, field: _Field, now_ms: float
    ) -> PlacedPrompt | None:
        name = candidate.known.replica.name
        engine = field.engine
        use = self._uses.compute(name, now_ms)
        total_tokens = field.prompt.count_tokens()
        needed = total_tokens + field.prompt.max_output_tokens
        is_full = use.tokens + needed > engine.memory_tokens * FULL_SHARE
        if use.running and (is_full or use.running >= engine.slots):
            return None
        source = _pick_source(field.sources[candidate.scope], candidate)
        covered = max(candidate.held_tokens, source.tokens)
        fetched = max(source.tokens - candidate.held_tokens, 0)
        unread = total_tokens - covered
        speed = self._uses.tokens_per_ms
        wait_ms = use.unread_tokens / speed + use.running * RUNNING_MS
        read_ms = unread / speed
        total_ms = wait_ms + read_ms * (1.0 + use.running * PAUSE_SHARE)
        total_ms += self._price(candidate, field.goal, now_ms)
        total_ms += _compute_fetch(fetched, candidate, source, engine)
        missing = _find_missing(field.shared, covered)
        address = source.address
        if missing is not None:
            total_ms += self._price_missing(candidate, field, missing, covered, now_ms)
            address = address or _guess_source(candidate, field, missing)
        return PlacedPrompt(
            replica=candidate.known,
            weights_version=candidate.version,
            scope=candidate.scope,
            total_ms=total_ms,
            wait_ms=wait_ms,
            unread_tokens=unread,
            fetched_tokens=fetched,
            source=address,
            considered=len(field.candidates),
            has_missing=missing is not None,
        )

    def _price(self, candidate: _Candidate, goal: Goal | None, now_ms: float) -> float:
        price_ms = FAILURE_MS * candidate.known.compute_failures(now_ms)
        if goal is not None and candidate.version < goal.version:
            is_late = goal.compute_age(candidate.version, now_ms) > LATE_AFTER_MS
            price_ms += LATE_WEIGHTS_MS if is_late else OLD_WEIGHTS_MS
        return price_ms

    def _price_missing(
        self,
        candidate: _Candidate,
        field: _Field,
        missing: Part,
        covered: int,
        now_ms: float,
    ) -> float:
        """Return the price of reading the rest of the shared parts at a replica."""
        price_ms = 0.0
        if candidate is not _find_home(field, missing):
            price_ms += AFFINITY_MS
        others = [
            other.known.replica.name
            for other in field.candidates
            if other.held_tokens > covered
            and other is not candidate
            and other.scope == candidate.scope
        ]
        if self._book.is_being_read(others, candidate.scope, missing, now_ms):
            rest = sum(part.tokens for part in field.shared) - covered
            price_ms += rest * REREAD_MS_PER_TOKEN
        return price_ms


def _compute_fetch(
    tokens: int, candidate: _Candidate, source: _Source, engine: EngineTraits
) -> float:
    """Return how long parts take from a source to a replica, in ms."""
    is_near = source.domain == candidate.known.replica.domain
    factor = 1.0 if is_near else FAR_FACTOR
    bits = tokens * engine.bytes_per_token * 8
    return bits * factor / (source.link_mbps * 1_000)


def _guess_source(
    candidate: _Candidate, field: _Field, missing: Part
) -> Address | None:
    """Return where a part may be that nobody is known to hold.

    A wrong guess costs about a millisecond.
    """
    store = field.home_store
    if store is not None and len(field.candidates) > MANY_REPLICAS:
        return store.address
    # Other nodes send it where hashing says.
    home = _find_home(field, missing)
    is_other = home is not candidate and home.scope == candidate.scope
    return home.known.replica.address if is_other else None


def _pick_source(sources: Sequence[_Source], candidate: _Candidate) -> _Source:
    """Return who holds more of a prompt's front than a candidate itself."""
    own = candidate.known.replica.name
    for source in sources:
        if source.name != own:
            return source if source.tokens > candidate.held_tokens else _Source()
    return _Source()


def _find_missing(shared: Sequence[Part], covered: int) -> Part | None:
    """Return the first shared part that is not among the covered tokens."""
    tokens = 0
    for part in shared:
        tokens += part.tokens
        if tokens > covered:
            return part
    return None


def _find_home(field: _Field, part: Part) -> _Candidate:
    """Return the replica that hashing gives to a part, the same on every node."""
    home = field.homes.get(part.name)
    if home is None:
        key = compute_seed(EndpointName(part.name))
        home = max(
            field.candidates,
            key=lambda each: compute_weight(compute_seed(each.known.replica.name), key),
        )
        field.homes[part.name] = home
    return home
