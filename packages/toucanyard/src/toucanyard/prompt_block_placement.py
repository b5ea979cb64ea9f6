"""Choose the replica of a prompt, and the source of the blocks that it lacks.

Each replica gets a score in milliseconds: the reading queued there, the blocks that it
would have to read, and prices for what costs other calls: reading a block that another
replica is already reading, old weights, recent failures. A block that any replica holds
is fetched from there, which takes a hundredth of the time of reading it. Hashing breaks
ties, so that nodes without knowledge of each other still send a cold block to one
replica.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.candidates import (
    MIN_TRANSFER_TOKENS,
    SHORT_TOKENS,
    Candidate,
    CandidateFilter,
    has_many_candidates,
)
from toucanyard.fetch_sources import FetchSource, FetchSources
from toucanyard.names import Address, EndpointName, RequestId
from toucanyard.prompt_block_index import PromptBlock, PromptBlockIndex
from toucanyard.prompt_block_sources import choose_store, compute_store_name
from toucanyard.relay_policy import RelayPolicy
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica
from toucanyard.routes import EngineTraits, PromptStore
from toucanyard.software_versions import VersionRoom
from toucanyard.target_weights import TargetWeights
from toucanyard.uneven_load.placement_inputs import EVEN, PlacementInputs

FULL_SHARE: Final = 0.92
"""Share of a replica's memory that calls may use together; beyond it the engine
preempts running calls and reads them again."""
LATE_AFTER_MS: Final = 1_200.0
"""Time from the announcement of weights until answers on older ones lose worth, less a
margin."""
MIN_AWAITED_TOKENS: Final = 1_000
MAX_READER_WAIT_MS: Final = 400.0
"""How long a call waits for a block that another replica is reading. A long block takes
70 to 120 ms, and its first call may have waited itself. After this the call is sent
anyway."""
OTHER_GROUP_PRICE_MS: Final = 250.0
"""Price of a replica of the other length group. A stream event of seven tokens waits
before each token for a step of a long prompt, 0.8 s in total when two long prompts are
read in a row. A call whose own group is full still uses the other one."""


CONNECT_MS: Final = 5.0
"""Time to open a connection to a replica in another failure domain."""


class PlacedPrompt(msgspec.Struct, frozen=True):
    """The replica chosen for a prompt, and the reasons."""

    replica: KnownReplica
    weights_version: int
    scope: str
    total_ms: float
    wait_ms: float
    unread_tokens: int
    fetched_tokens: int
    source: Address | None
    considered: int
    missing: PromptBlock | None
    """The first shared block that the replica has to read."""
    speed_factor: float = 1.0
    """Speed of the replica relative to the mean."""


class _Scored(msgspec.Struct, frozen=True):
    """A candidate and its score; the lowest total wins."""

    candidate: Candidate
    total_ms: float
    wait_ms: float
    unread_tokens: int
    fetched_tokens: int
    missing: PromptBlock | None
    """The first shared block without a holder."""
    speed_factor: float


class _PlacementContext(msgspec.Struct):
    """Facts looked up once for all candidates of one prompt.

    When every candidate was compared with every other one, a choice among 70 took 5 ms.
    """

    prompt: Prompt
    shared: tuple[PromptBlock, ...]
    engine: EngineTraits
    target: TargetWeights | None
    candidates: list[Candidate]
    sources: dict[str, FetchSources]
    """By scope."""
    stores: Sequence[PromptStore]
    length_group: list[Candidate]
    """The candidates preferred by prompts of this length."""
    length_group_names: frozenset[EndpointName]
    has_many_candidates: bool
    room: VersionRoom | None = None
    """The software versions that a new stream should avoid."""
    inputs: PlacementInputs = EVEN
    connected: Collection[EndpointName] = ()
    """Replicas to which the call may be sent on a kept connection."""
    preferred_replicas: dict[str, Candidate] = {}
    readers: dict[tuple[str, str], list[EndpointName]] = {}
    """Replicas that are reading a block, by scope and block name."""


def compute_scope(prompt: Prompt, version: int, cache_group: str) -> str:
    """Return the scope in which a replica keeps the blocks of a prompt.

    It contains the weights version and the call's cache group, so that nothing is used
    that was read under other weights or across an isolated customer.
    """
    return f"{prompt.model}/{version}/{cache_group}"


class PromptBlockPlacement:
    """Chooses among the replicas that run a model."""

    __slots__ = (
        "_block_index",
        "_filter",
        "_max_old_ms",
        "_origins",
        "_policy",
        "_usage",
    )

    def __init__(
        self,
        block_index: PromptBlockIndex,
        usage: ReplicaUsage,
        max_old_ms: float,
        policy: RelayPolicy = RelayPolicy(),  # noqa: B008
    ) -> None:
        self._policy = policy.placement
        self._origins = policy.origins
        self._block_index = block_index
        self._usage = usage
        self._filter = CandidateFilter()
        self._max_old_ms = max_old_ms
        """How long after the announcement of new weights older ones may still start a
        call."""

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
        cache_group: str = "",
        may_wait_for_reader: bool = True,
        room: VersionRoom | None = None,
        inputs: PlacementInputs = EVEN,
        connected: Collection[EndpointName] = (),
    ) -> PlacedPrompt | None:
        """Return the best replica with capacity, or None if the call has to wait.

        Calls of other cache groups share no cached prompt block with this one.
        `may_wait_for_reader` allows it to wait for a block that another replica is
        reading. `room` names the software versions that a new stream should avoid.
        `inputs` tells how replicas and demand differ, `connected` to which replicas
        there are kept connections.
        """
        candidates = self._find_candidates(prompt, cache_group, usable, target, now_ms)
        shared = prompt.find_shared()
        sources = self._find_sources(candidates, shared, engine, stores, now_ms)
        length_group = self._filter.find_length_group(
            candidates, prompt, inputs.short_share
        )
        length_group_names = frozenset(each.known.replica.name for each in length_group)
        context = _PlacementContext(
            prompt,
            shared,
            engine,
            target,
            candidates,
            sources,
            stores,
            length_group,
            length_group_names,
            has_many_candidates(candidates),
            room,
            inputs,
            connected,
        )
        first: list[Candidate] = []
        if has_many_candidates(candidates):
            first = self._filter.find_preselected(
                length_group, prompt, request.request_id
            )
            first += _find_connected(context)
        best = self._find_best(first, context, now_ms)
        if best is None:
            best = self._find_best(candidates, context, now_ms)
        if best is None and room is not None and room.few:
            # No other version has room.
            context.room = msgspec.structs.replace(room, few=frozenset())
            best = self._find_best(candidates, context, now_ms)
        if best is None:
            return None
        if may_wait_for_reader and self._should_wait_for_reader(
            best, context, request, now_ms
        ):
            return None
        placed = _build_placed(best, context, request.request_id)
        if not self._policy.fetches:
            return msgspec.structs.replace(placed, source=None)
        return placed

    def _find_best(
        self, candidates: Iterable[Candidate], context: _PlacementContext, now_ms: float
    ) -> _Scored | None:
        best: _Scored | None = None
        for each in candidates:
            scored = self._score(each, context, now_ms)
            if scored is not None and (best is None or scored.total_ms < best.total_ms):
                best = scored
        return best

    def _should_wait_for_reader(
        self,
        scored: _Scored,
        context: _PlacementContext,
        request: RelayRequest,
        now_ms: float,
    ) -> bool:
        """Return whether a call should wait for a block that another replica reads.

        Sent elsewhere it would read the block again, which costs more than the delay;
        sent to the reader, all calls of a hot block would queue at one of many
        replicas.
        """
        block = scored.missing
        if (
            block is None
            or not context.has_many_candidates
            or block.tokens < MIN_AWAITED_TOKENS
        ):
            return False
        if now_ms - request.arrived_ms > MAX_READER_WAIT_MS:
            return False
        candidate = scored.candidate
        name = candidate.known.replica.name
        readers = self._find_readers(context, candidate.scope, block, now_ms)
        return bool(readers) and name not in readers

    def _find_candidates(
        self,
        prompt: Prompt,
        cache_group: str,
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
            scope = compute_scope(prompt, version, cache_group)
            name = known.replica.name
            held = self._block_index.count_leading(name, scope, shared, float("inf"))
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
        shared: Sequence[PromptBlock],
        engine: EngineTraits,
        stores: Sequence[PromptStore],
        now_ms: float,
    ) -> dict[str, FetchSources]:
        """Return the current holders of the longest front of a prompt, by scope."""
        found: dict[str, FetchSources] = {
            each.scope: FetchSources() for each in candidates
        }
        if not self._policy.fetches:
            return found
        for each in candidates:
            replica = each.known.replica
            held = self._block_index.count_leading(
                replica.name, each.scope, shared, now_ms
            )
            source = FetchSource(
                replica.name, replica.address, engine.link_mbps, replica.domain
            )
            found[each.scope].add(source, held)
        for store in stores:
            name = compute_store_name(store)
            source = FetchSource(name, store.address, store.link_mbps, store.domain)
            for scope, sources in found.items():
                held = self._block_index.count_leading(name, scope, shared, now_ms)
                sources.add(source, held)
        return found

    def _score(
        self, candidate: Candidate, context: _PlacementContext, now_ms: float
    ) -> _Scored | None:
        name = candidate.known.replica.name
        engine = context.engine
        total_usage = self._usage.compute(name, now_ms)
        total_tokens = context.prompt.count_tokens()
        needed = total_tokens + context.prompt.max_output_tokens
        share = self._find_room_share(candidate, context)
        max_tokens = engine.memory_tokens * FULL_SHARE * share
        is_full = total_usage.tokens + needed > max_tokens
        is_full |= total_usage.running >= engine.slots * share
        if total_usage.running and is_full:
            return None
        sources = context.sources[candidate.scope]
        covered = max(candidate.held_tokens, sources.tokens)
        fetched = max(sources.tokens - candidate.held_tokens, 0)
        unread = total_tokens - covered
        factor = context.inputs.find_factor(name)
        speed = self._usage.tokens_per_ms * factor
        wait_ms = (
            total_usage.unread_tokens / speed
            + total_usage.running * self._policy.running_ms
        )
        read_ms = unread / speed
        total_ms = wait_ms + read_ms * (
            1.0 + total_usage.running * self._policy.pause_share
        )
        total_ms += self._price(candidate, context.target, now_ms)
        if context.room is not None:
            version = candidate.known.replica.software_version
            total_ms += self._origins.fewer_ms * (version in context.room.fewer)
        if name not in context.length_group_names:
            total_ms += OTHER_GROUP_PRICE_MS
        if context.connected and name not in context.connected:
            total_ms += CONNECT_MS
        total_ms += sources.compute_price(fetched, candidate.known.replica, engine)
        missing = _find_missing(context.shared, covered)
        if missing is not None:
            total_ms += self._price_missing(
                candidate, context, missing, covered, now_ms
            )
        return _Scored(
            candidate,
            total_ms,
            wait_ms,
            unread,
            fetched,
            missing,
            factor,
        )

    def _find_room_share(
        self, candidate: Candidate, context: _PlacementContext
    ) -> float:
        """Return the share of a replica's room that the call may use."""
        version = candidate.known.replica.software_version
        if context.room is None or version not in context.room.few:
            return 1.0
        return 1.0 - self._origins.kept_share

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
        context: _PlacementContext,
        missing: PromptBlock,
        covered: int,
        now_ms: float,
    ) -> float:
        """Return the price of reading the remaining shared blocks at a replica."""
        price_ms = 0.0
        if not context.has_many_candidates and candidate is not _find_preferred_replica(
            context, missing
        ):
            price_ms += self._policy.affinity_ms
        readers = self._find_readers(context, candidate.scope, missing, now_ms)
        if any(name != candidate.known.replica.name for name in readers):
            # Among many replicas, the readers of this block seldom read the rest of the
            # chain.
            shared = (
                missing.tokens
                if context.has_many_candidates
                else context.prompt.count_shared() - covered
            )
            price_ms += shared * self._policy.reread_ms_per_token
        return price_ms

    def _find_readers(
        self, context: _PlacementContext, scope: str, block: PromptBlock, now_ms: float
    ) -> list[EndpointName]:
        """Return the replicas that are reading a block now."""
        key = (scope, block.name)
        readers = context.readers.get(key)
        if readers is None:
            readers = context.readers[key] = [
                each.known.replica.name
                for each in context.candidates
                if each.scope == scope
                and self._block_index.is_being_read(
                    each.known.replica.name, scope, block, now_ms
                )
            ]
        return readers


def _find_connected(context: _PlacementContext) -> list[Candidate]:
    """Return the candidates for a short prompt to which there is a connection.

    Long prompts are read where their blocks are.
    """
    if not context.connected or context.prompt.count_tokens() > SHORT_TOKENS:
        return []
    return [
        each
        for each in context.length_group
        if each.known.replica.name in context.connected
    ]


def _build_placed(
    scored: _Scored, context: _PlacementContext, request_id: RequestId
) -> PlacedPrompt:
    candidate = scored.candidate
    address = _find_source(scored, context, request_id)
    return PlacedPrompt(
        replica=candidate.known,
        weights_version=candidate.version,
        scope=candidate.scope,
        total_ms=scored.total_ms,
        wait_ms=scored.wait_ms,
        unread_tokens=scored.unread_tokens,
        fetched_tokens=scored.fetched_tokens,
        source=address,
        considered=len(context.candidates),
        missing=scored.missing,
        speed_factor=scored.speed_factor,
    )


def _find_source(
    scored: _Scored, context: _PlacementContext, request_id: RequestId
) -> Address | None:
    """Return where a replica can get blocks that it lacks, known or guessed.

    A wrong guess costs about a millisecond. Among many replicas a source is given even
    if the candidate should hold everything: it may have evicted blocks since, and would
    read them again.
    """
    candidate, missing = scored.candidate, scored.missing
    if scored.fetched_tokens:
        sources = context.sources[candidate.scope]
        source = sources.pick(candidate.known.replica, request_id)
        if source is not None:
            return source.address
    if context.has_many_candidates:
        if context.prompt.count_shared() < MIN_TRANSFER_TOKENS:
            return None
        domain = candidate.known.replica.domain
        store = choose_store(context.stores, context.shared[-1].name, domain)
        if store is not None:
            return store.address
    if missing is None:
        return None
    # Other nodes place the block by the same hash.
    preferred = _find_preferred_replica(context, missing)
    is_other = preferred is not candidate and preferred.scope == candidate.scope
    return preferred.known.replica.address if is_other else None


def _find_missing(shared: Sequence[PromptBlock], covered: int) -> PromptBlock | None:
    """Return the first shared block that is not among the covered tokens."""
    tokens = 0
    for block in shared:
        tokens += block.tokens
        if tokens > covered:
            return block
    return None


def _find_preferred_replica(
    context: _PlacementContext, block: PromptBlock
) -> Candidate:
    """Return the replica that hashing selects for a block, the same on all nodes."""
    preferred = context.preferred_replicas.get(block.name)
    if preferred is None:
        key = compute_seed(EndpointName(block.name))
        preferred = max(
            context.length_group,
            key=lambda each: compute_weight(compute_seed(each.known.replica.name), key),
        )
        context.preferred_replicas[block.name] = preferred
    return preferred
