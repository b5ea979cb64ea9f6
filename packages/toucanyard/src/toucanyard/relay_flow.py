"""Take each relayed call from its arrival to its end: queue, replica, retries.

A call is sent, waits for a replica with room, or is refused before anything was sent,
so that "not run" is true. What failed is tried elsewhere only where it surely did not
run or may run twice, within the route's attempts and the budget of all nodes.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from toucanyard.drain_rate import DrainRate
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import EndpointName, RequestId, ServiceName
from toucanyard.part_book import PartBook
from toucanyard.part_placement import (
    MIN_MOVED_TOKENS,
    PartPlacement,
    PlacedPrompt,
)
from toucanyard.part_reports import PartReports
from toucanyard.part_sources import PartSources, choose_store, name_store
from toucanyard.plain_placement import PlainPlacement
from toucanyard.relay_options import RelayOptions
from toucanyard.relay_requests import (
    PlacementReason,
    Prompt,
    RelayDispatch,
    RelayOutcome,
    RelayRequest,
    RelayVerdict,
)
from toucanyard.replica_uses import ReplicaUses
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.requests import PROVED_NOT_RUN, EndingSeen, Refuse, Repeatability
from toucanyard.retry_budget import SharedRetryBudget
from toucanyard.routes import EngineTraits, PromptStore, RouteIndex, RouteTable
from toucanyard.weights_goals import WeightsGoals

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 2_000
CALL_PATIENCE: Final = 3.0
"""Targets after which a call that may run twice is tried elsewhere."""
STREAM_PATIENCE: Final = 2.0
"""Targets after which a stream that may be resumed is begun elsewhere."""
MIN_PATIENCE_MS: Final = 400.0
NO_REPLICA_WAIT_MS: Final = 1_500.0
"""How long a call waits while its service has no usable replica at all: replicas load
weights for less than that, and a list that lapsed is back."""
MAX_BLOCKED: Final = 8
"""Calls of one queue that are looked at once some don't fit; the rest hardly would."""


class RelayReply(msgspec.Struct, frozen=True):
    """Answer the question about a call; None says that it is over."""

    request_id: RequestId
    verdict: RelayVerdict | None


class _Pending(msgspec.Struct):
    request: RelayRequest
    sends: int = 0
    """Sends that may have reached a replica."""
    dispatches: int = 0
    tried: tuple[EndpointName, ...] = ()
    replica: EndpointName | None = None
    scope: str = ""
    weights_version: int | None = None
    """Weights of the last dispatch."""
    has_begun: bool = False
    """Its answer has begun, and goes on under no other weights."""
    is_waiting: bool = False
    queued_ms: float = 0.0
    may_have_run: bool = False
    """Never goes back to false: a later refusal must not say "not run"."""
    has_failed: bool = False
    """The last try that may have run ended with an answer that says that it failed."""


class RelayFlow:
    """All relayed calls of one node that are not over.

    Invariant: each arrival and each ended dispatch gets exactly one reply, unless the
    caller left before.
    """

    def __init__(
        self,
        options: RelayOptions,
        directory: ReplicaDirectory,
        goals: WeightsGoals,
        sources: PartSources,
        rng: random.Random,
    ) -> None:
        self._options = options
        self._sources = sources
        self._rng = rng
        self._directory = directory
        self._goals = goals
        self._index = RouteIndex(RouteTable())
        self._pending: dict[RequestId, _Pending] = {}
        self._queues: dict[ServiceName, list[_Pending]] = {}
        self._drains: dict[ServiceName, DrainRate] = {}
        self._budgets: dict[ServiceName, SharedRetryBudget] = {}
        self.node_count = 1
        self.view_confirmed_ms = float("-inf")
        self.reports = PartReports()
        self.uses = ReplicaUses()
        self.book = PartBook()
        max_old_ms = options.weights.deadline_ms * 0.8
        self._placement = PartPlacement(self.book, self.uses, max_old_ms)
        self._plain = PlainPlacement(options.domain, self.uses, rng)

    def apply_index(self, index: RouteIndex) -> None:
        """Decide by this table from now on."""
        self._index = index

    def count_pending(self) -> int:
        """Return how many calls are not over."""
        return len(self._pending)

    def count_waiting(self) -> int:
        """Return how many calls wait for a replica."""
        return sum(len(queue) for queue in self._queues.values())

    def arrive(self, request: RelayRequest, now_ms: float) -> Iterator[RelayReply]:
        """Take in a new call."""
        pending = _Pending(request, queued_ms=now_ms)
        self._pending[request.request_id] = pending
        self._find_budget(request.service).note_first_try(now_ms)
        if request.deadline_ms <= now_ms:
            yield self._refuse(
                pending, ErrorKind.OVERLOADED, "the deadline passed", now_ms
            )
            return
        if not self._queues.get(request.service):
            dispatch = self._place(pending, now_ms)
            if dispatch is not None:
                yield RelayReply(request.request_id, dispatch)
                return
        refusal = self._check_wait(pending, now_ms)
        if refusal is not None:
            yield refusal
            return
        self._enqueue(pending)
        yield from self._drain(request.service, now_ms)

    def leave(self, request_id: RequestId, now_ms: float) -> Iterator[RelayReply]:
        """Take in that the caller of a call without a verdict went away."""
        pending = self._pending.get(request_id)
        if pending is not None:
            yield from self._finish(pending, now_ms)

    def note_first(self, request_id: RequestId, now_ms: float) -> Iterator[RelayReply]:
        """Take in that an answer's first event came: its prompt has been read."""
        pending = self._pending.get(request_id)
        if pending is None or pending.replica is None:
            return
        self.uses.note_started(pending.replica, request_id, now_ms)
        self._note_parts(pending, now_ms)
        yield from self._drain(pending.request.service, now_ms)

    def end_dispatch(
        self, outcome: RelayOutcome, now_ms: float
    ) -> Iterator[RelayReply]:
        """Take in how a dispatch ended and decide what follows."""
        pending = self._pending.get(outcome.request_id)
        if pending is None:
            yield RelayReply(outcome.request_id, None)
            return
        self._learn(pending, outcome, now_ms)
        if outcome.ending in (EndingSeen.COMPLETED, EndingSeen.CANCELLED):
            yield RelayReply(outcome.request_id, None)
            yield from self._finish(pending, now_ms)
            return
        if not self._may_try_again(pending, outcome, now_ms):
            yield from self._give_up(pending, outcome, now_ms)
            return
        pending.replica = None
        dispatch = self._place(pending, now_ms)
        if dispatch is not None:
            yield RelayReply(outcome.request_id, dispatch)
            return
        if pending.has_begun:
            # Its caller may resume it elsewhere, which a silent wait would put off.
            yield from self._give_up(pending, outcome, now_ms)
            return
        pending.queued_ms = now_ms
        self._enqueue(pending)

    def _enqueue(self, pending: _Pending) -> None:
        pending.is_waiting = True
        queue = self._queues.setdefault(pending.request.service, [])
        queue.append(pending)
        queue.sort(key=_rank)

    def tick(self, now_ms: float) -> Iterator[RelayReply]:
        """Refuse what can't be sent in time any more and send what fits."""
        for service, queue in self._queues.items():
            if not queue:
                continue
            for pending in [each for each in queue if self._is_hopeless(each, now_ms)]:
                queue.remove(pending)
                pending.is_waiting = False
                text = "no replica had room in time"
                yield self._refuse(pending, ErrorKind.OVERLOADED, text, now_ms)
            yield from self._drain(service, now_ms)

    def _drain(self, service: ServiceName, now_ms: float) -> Iterator[RelayReply]:
        queue = self._queues.get(service)
        if not queue:
            return
        blocked = 0
        for pending in list(queue):
            dispatch = self._place(pending, now_ms)
            if dispatch is None:
                blocked += 1
                if blocked >= MAX_BLOCKED:
                    return
                continue
            queue.remove(pending)
            pending.is_waiting = False
            yield RelayReply(pending.request.request_id, dispatch)

    def _check_wait(self, pending: _Pending, now_ms: float) -> RelayReply | None:
        """Refuse at once what would not be reached before its deadline."""
        request = pending.request
        if not self._directory.find_listed(request.service, now_ms):
            return self._refuse(pending, ErrorKind.NO_ENDPOINT, "no replica", now_ms)
        wait_ms = self._compute_wait(pending, now_ms)
        if wait_ms > request.deadline_ms - now_ms:
            text = f"the wait would be about {wait_ms:.0f} ms"
            return self._refuse(pending, ErrorKind.OVERLOADED, text, now_ms)
        return None

    def _compute_wait(self, pending: _Pending, now_ms: float) -> float:
        request = pending.request
        queue = self._queues.get(request.service, [])
        ahead = sum(_rank(each) <= _rank(pending) for each in queue)
        return self._find_drain(request.service).compute_wait(ahead, now_ms)

    def _is_hopeless(self, pending: _Pending, now_ms: float) -> bool:
        """Tell whether a waiting call is better told now than later.

        What is left of its time when it is refused is what its caller can retry in.
        """
        request = pending.request
        if now_ms >= request.deadline_ms - request.target_ms / 4:
            return True
        if now_ms - pending.queued_ms < NO_REPLICA_WAIT_MS:
            return False
        return not self._directory.find_usable(request.service, now_ms)

    def _place(self, pending: _Pending, now_ms: float) -> RelayDispatch | None:
        request = pending.request
        service = self._index.find_service(request.service)
        usable = self._directory.find_usable(request.service, now_ms)
        fresh = [each for each in usable if each.replica.name not in pending.tried]
        # A single replica is tried again rather than nothing.
        usable = fresh or usable
        if not usable:
            return None
        if request.prompt is not None and service is not None and service.engine:
            return self._place_prompt(pending, service.engine, usable, now_ms)
        return self._place_plain(pending, usable, now_ms)

    def _place_prompt(
        self,
        pending: _Pending,
        engine: EngineTraits,
        usable: list[KnownReplica],
        now_ms: float,
    ) -> RelayDispatch | None:
        request = pending.request
        prompt = request.prompt
        assert prompt is not None
        goal = self._goals.find(prompt.model)
        if pending.has_begun and pending.weights_version is not None:
            # What another version goes on with is no part of the same answer.
            version = pending.weights_version
            usable = [e for e in usable if e.weights.get(prompt.model) == version]
        stores = self._sources.find_stores(self._index, now_ms)
        placed = self._placement.choose(
            request, prompt, engine, usable, goal, stores, now_ms
        )
        if placed is None:
            return None
        pending.weights_version = placed.weights_version
        replica = placed.replica.replica
        tokens = prompt.count_tokens() + prompt.max_output_tokens
        self._begin(pending, replica.name, tokens, placed.unread_tokens, now_ms)
        pending.scope = placed.scope
        read_ms = placed.wait_ms + placed.unread_tokens / self.uses.tokens_per_ms
        self.book.note(
            replica.name,
            placed.scope,
            prompt.parts,
            now_ms + read_ms,
            engine.memory_tokens,
        )
        for part in prompt.parts:
            self.reports.note(
                replica.name, placed.scope, part.name, part.tokens, now_ms + read_ms
            )
        keeper = self._find_keeper(prompt, placed, stores)
        if keeper is not None:
            self._note_saved(keeper, placed, prompt, now_ms + read_ms)
        reason = PlacementReason(
            total_ms=placed.total_ms,
            wait_ms=placed.wait_ms,
            unread_tokens=placed.unread_tokens,
            fetched_tokens=placed.fetched_tokens,
            considered=placed.considered,
            queued_ms=now_ms - request.arrived_ms,
            view_age_ms=now_ms - self.view_confirmed_ms,
        )
        dispatch = self._build_dispatch(pending, placed.replica, reason)
        return msgspec.structs.replace(
            dispatch,
            weights_version=placed.weights_version,
            cache_scope=placed.scope,
            fetch_from=placed.source,
            # What no replica had is kept aside: it outlives the replica that reads it.
            save_to=None if keeper is None else keeper.address,
        )

    def _find_keeper(
        self, prompt: Prompt, placed: PlacedPrompt, stores: Sequence[PromptStore]
    ) -> PromptStore | None:
        """Return the store that is to keep what the replica reads, if that is much."""
        shared = prompt.find_shared()
        if not placed.has_missing or not shared:
            return None
        if sum(part.tokens for part in shared) < MIN_MOVED_TOKENS:
            return None
        domain = placed.replica.replica.domain
        return choose_store(stores, shared[-1].name, domain)

    def _note_saved(
        self, keeper: PromptStore, placed: PlacedPrompt, prompt: Prompt, ready_ms: float
    ) -> None:
        """Note that a store is to keep the shared parts of a prompt."""
        name, shared = name_store(keeper), prompt.find_shared()
        self.book.note(name, placed.scope, shared, ready_ms, keeper.memory_tokens)
        for part in shared:
            self.reports.note(name, placed.scope, part.name, part.tokens, ready_ms)

    def _place_plain(
        self, pending: _Pending, usable: list[KnownReplica], now_ms: float
    ) -> RelayDispatch | None:
        placed = self._plain.choose(usable, now_ms)
        if placed is None:
            return None
        self._begin(pending, placed.replica.replica.name, 0, 0, now_ms)
        reason = PlacementReason(
            total_ms=placed.load,
            wait_ms=0.0,
            unread_tokens=0,
            fetched_tokens=0,
            considered=len(usable),
            queued_ms=now_ms - pending.request.arrived_ms,
            view_age_ms=now_ms - self.view_confirmed_ms,
        )
        return self._build_dispatch(pending, placed.replica, reason)

    def _build_dispatch(
        self, pending: _Pending, known: KnownReplica, reason: PlacementReason
    ) -> RelayDispatch:
        request, replica = pending.request, known.replica
        return RelayDispatch(
            request_id=request.request_id,
            replica=replica.name,
            address=replica.address,
            attempt=pending.dispatches,
            rank=request.rank,
            patience_ms=self._compute_patience(pending),
            reason=reason,
        )

    def _begin(
        self,
        pending: _Pending,
        replica: EndpointName,
        tokens: int,
        unread_tokens: int,
        now_ms: float,
    ) -> None:
        request_id = pending.request.request_id
        pending.replica = replica
        pending.dispatches += 1
        pending.sends += 1
        self.uses.begin(replica, request_id, tokens, unread_tokens, now_ms)

    def _compute_patience(self, pending: _Pending) -> float:
        """Return how long to wait for an answer before trying elsewhere."""
        request = pending.request
        is_last = pending.sends >= request.max_attempts
        if is_last or request.repeatability is not Repeatability.REPEATABLE:
            return float("inf")
        factor = STREAM_PATIENCE if request.is_stream else CALL_PATIENCE
        return max(request.target_ms * factor, MIN_PATIENCE_MS)

    def _learn(self, pending: _Pending, outcome: RelayOutcome, now_ms: float) -> None:
        self.uses.end(outcome.replica, outcome.request_id)
        known = self._directory.find(outcome.replica)
        prompt = pending.request.prompt
        if prompt is not None and not outcome.has_begun:
            self.book.note_unread(outcome.replica, pending.scope, prompt.parts, now_ms)
        self._note_sends(pending, outcome)
        if known is None:
            return
        if prompt is not None and outcome.weights_version is not None:
            self._note_weights(known, prompt.model, outcome.weights_version)
        match outcome.ending:
            case EndingSeen.COMPLETED:
                known.note_success()
            case EndingSeen.NOT_SENT | EndingSeen.LOST:
                known.note_failure(now_ms, is_dead=outcome.is_dead)
            case EndingSeen.FAILED:
                known.note_failure(now_ms, is_dead=False)
            case EndingSeen.REFUSED if outcome.is_replaced:
                self._directory.note_replaced(outcome.replica, now_ms)
            case EndingSeen.REFUSED if outcome.has_other_weights:
                self._guess_weights(known, pending)
            case EndingSeen.REFUSED:
                known.note_refusal(now_ms)

    def _note_sends(self, pending: _Pending, outcome: RelayOutcome) -> None:
        if outcome.ending not in PROVED_NOT_RUN:
            pending.may_have_run = True
            pending.has_failed = outcome.ending is EndingSeen.FAILED
        if outcome.ending is EndingSeen.NOT_SENT:
            # It reached nobody, so it is none of the attempts that a route allows.
            pending.sends -= 1

    def _guess_weights(self, known: KnownReplica, pending: _Pending) -> None:
        """Believe a replica that refused for its weights to have the wanted ones."""
        prompt = pending.request.prompt
        goal = None if prompt is None else self._goals.find(prompt.model)
        if prompt is not None and goal is not None:
            self._note_weights(known, prompt.model, goal.version)

    def _note_weights(self, known: KnownReplica, model: str, version: int) -> None:
        if known.note_weights(model, version):
            # Loading weights drops all that was read under the ones before.
            self.book.forget(known.replica.name)

    def _may_try_again(
        self, pending: _Pending, outcome: RelayOutcome, now_ms: float
    ) -> bool:
        request = pending.request
        is_safe = (
            outcome.ending in PROVED_NOT_RUN
            or request.repeatability is Repeatability.REPEATABLE
        )
        pending.has_begun = pending.has_begun or outcome.has_begun
        if outcome.has_begun and not request.is_resumable:
            return False
        if not is_safe or pending.sends >= request.max_attempts:
            return False
        if now_ms >= request.deadline_ms:
            return False
        if pending.dispatches > 2 * request.max_attempts + 2:
            return False
        pending.tried = (*pending.tried, outcome.replica)
        if outcome.ending is EndingSeen.NOT_SENT:
            return True
        return self._find_budget(request.service).take(self.node_count, now_ms)

    def _give_up(
        self, pending: _Pending, outcome: RelayOutcome, now_ms: float
    ) -> Iterator[RelayReply]:
        text = f"{pending.dispatches} tries failed, the last one: {outcome.text}"
        yield self._refuse(pending, ErrorKind.NO_ENDPOINT, text, now_ms)
        yield from self._finish(pending, now_ms)

    def _refuse(
        self, pending: _Pending, kind: ErrorKind, text: str, now_ms: float
    ) -> RelayReply:
        """End a call with no more than is proved, and say when to come back.

        The kind says why it is given up now. An earlier try may have run all the same;
        told "not run", a caller would repeat what was done.
        """
        request = pending.request
        self._pending.pop(request.request_id, None)
        if pending.has_failed:
            # The replica's own answer is passed on; there is nothing to add.
            return RelayReply(request.request_id, None)
        ending = Ending.NOT_RUN
        if pending.may_have_run:
            ending = Ending.UNKNOWN
            is_repeatable = request.repeatability is Repeatability.REPEATABLE
            kind = (
                ErrorKind.ENDPOINT_LOST if is_repeatable else ErrorKind.OUTCOME_UNKNOWN
            )
        wait_ms = self._compute_wait(pending, now_ms)
        wait_ms = min(max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
        # Callers refused in one instant must not come back in one instant.
        retry_after_ms = int(wait_ms * self._rng.uniform(1.0, 2.0))
        refusal = Refuse(request.request_id, kind, ending, text, retry_after_ms)
        return RelayReply(request.request_id, refusal)

    def _finish(self, pending: _Pending, now_ms: float) -> Iterator[RelayReply]:
        """Free what a call held and send what fits now."""
        request = pending.request
        self._pending.pop(request.request_id, None)
        if pending.is_waiting:
            self._queues[request.service].remove(pending)
            pending.is_waiting = False
        if pending.replica is not None:
            self.uses.end(pending.replica, request.request_id)
            self._find_drain(request.service).note(now_ms)
        yield from self._drain(request.service, now_ms)

    def _note_parts(self, pending: _Pending, now_ms: float) -> None:
        prompt = pending.request.prompt
        service = self._index.find_service(pending.request.service)
        if prompt is None or service is None or service.engine is None:
            return
        if pending.replica is not None:
            memory_tokens = service.engine.memory_tokens
            self.book.note(
                pending.replica, pending.scope, prompt.parts, now_ms, memory_tokens
            )

    def _find_drain(self, service: ServiceName) -> DrainRate:
        return self._drains.setdefault(service, DrainRate())

    def _find_budget(self, service: ServiceName) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            retries = self._options.retries
            budget = SharedRetryBudget(
                retries.ratio, retries.slack, float(retries.window_ms)
            )
            self._budgets[service] = budget
        return budget


def _rank(pending: _Pending) -> tuple[int, float]:
    request = pending.request
    return request.rank, request.deadline_ms
