"""Choose where one relayed call goes, and note what its replica is sent to do."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

import msgspec
import xxhash

from toucanyard.candidates import MIN_MOVED_TOKENS
from toucanyard.names import EndpointName, Fingerprint, ServiceName
from toucanyard.part_book import PartBook
from toucanyard.part_placement import PartPlacement, PlacedPrompt
from toucanyard.part_reports import PartReports
from toucanyard.part_sources import PartSources, choose_store, name_store
from toucanyard.pending_call import PendingCall
from toucanyard.plain_placement import PlainPlacement
from toucanyard.relay_options import RelayOptions
from toucanyard.relay_requests import PlacementReason, Prompt, RelayDispatch
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replica_credits import ReplicaCredits
from toucanyard.replica_uses import ReplicaUses
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.requests import Repeatability
from toucanyard.routes import EngineTraits, PromptStore, RouteIndex, RouteTable
from toucanyard.weights_goals import WeightsGoals

MIN_PATIENCE_MS: Final = 400.0
MAX_OLD_SHARE: Final = 0.8
"""Share of the time for new weights in which a call may still begin on older ones."""


class CallPlacement:
    """The choice among all replicas of a call's service.

    Invariant: each dispatch that it gives is counted in `uses` until it is ended there.
    """

    def __init__(
        self,
        options: RelayOptions,
        directory: ReplicaDirectory,
        goals: WeightsGoals,
        sources: PartSources,
        credits: ReplicaCredits,
        rng: random.Random,
    ) -> None:
        self._policy = options.policy
        self._sources = sources
        self._credits = credits
        self._directory = directory
        self._goals = goals
        self.index = RouteIndex(RouteTable())
        self.view_confirmed_ms = float("-inf")
        """When the store last confirmed the list of replicas."""
        self.reports = PartReports()
        self.uses = ReplicaUses()
        self.book = PartBook()
        max_old_ms = options.weights.deadline_ms * MAX_OLD_SHARE
        self._placement = PartPlacement(
            self.book, self.uses, max_old_ms, options.policy.placement
        )
        self._plain = PlainPlacement(options.domain, self.uses, rng)

    def place(self, pending: PendingCall, now_ms: float) -> RelayDispatch | None:
        """Choose a replica and count the call there; None if it has to wait."""
        if self._credits.is_awaiting_replica_credit(pending, now_ms):
            return None
        request = pending.request
        service = self.index.find_service(request.service)
        usable: Sequence[KnownReplica]
        usable = self._directory.find_usable(request.service, now_ms)
        fresh = [each for each in usable if each.replica.name not in pending.tried]
        # A single replica is tried again rather than nothing.
        usable = fresh or usable
        if not usable:
            return None
        if pending.is_suspect:
            usable = [_find_home(request.fingerprint, usable)]
        usable = self._credits.select(pending, usable, now_ms)
        if not usable:
            return None
        if request.prompt is not None and service is not None and service.engine:
            return self._place_prompt(pending, service.engine, usable, now_ms)
        return self._place_plain(pending, usable, now_ms)

    def _place_prompt(
        self,
        pending: PendingCall,
        engine: EngineTraits,
        usable: Sequence[KnownReplica],
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
        stores = self._sources.find_stores(self.index, now_ms)
        placed = self._placement.choose(
            request,
            prompt,
            engine,
            usable,
            goal,
            stores,
            now_ms,
            # The caller of a stream that was cut should rather learn of it at once.
            may_follow=not pending.has_begun,
        )
        if placed is None:
            return None
        replica = placed.replica.replica
        if not self._credits.claim(pending, replica.name, now_ms):
            return None
        pending.weights_version = placed.weights_version
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
                replica.name,
                placed.scope,
                part.name,
                part.tokens,
                now_ms + read_ms,
                is_new=part is placed.missing,
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
            gone_ms=placed.replica.compute_gone(now_ms),
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
        if placed.missing is None or not shared or not self._policy.placement.saves:
            return None
        if prompt.count_shared() < MIN_MOVED_TOKENS:
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
        self, pending: PendingCall, usable: Sequence[KnownReplica], now_ms: float
    ) -> RelayDispatch | None:
        placed = self._plain.choose(usable, now_ms)
        if placed is None:
            return None
        if not self._credits.claim(pending, placed.replica.replica.name, now_ms):
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
            gone_ms=placed.replica.compute_gone(now_ms),
        )
        return self._build_dispatch(pending, placed.replica, reason)

    def _build_dispatch(
        self, pending: PendingCall, known: KnownReplica, reason: PlacementReason
    ) -> RelayDispatch:
        request, replica = pending.request, known.replica
        return RelayDispatch(
            request_id=request.request_id,
            replica=replica.name,
            listed_as=replica.listed_as,
            address=replica.address,
            attempt=pending.dispatches,
            rank=request.rank,
            connect_ms=self._policy.retries.connect_ms,
            patience_ms=self._compute_patience(pending),
            reason=reason,
            is_limited=self._credits.find_limit(replica.name) is not None,
        )

    def _begin(
        self,
        pending: PendingCall,
        replica: EndpointName,
        tokens: int,
        unread_tokens: int,
        now_ms: float,
    ) -> None:
        request_id = pending.request.request_id
        pending.replica = replica
        pending.sent_ms = now_ms
        pending.dispatches += 1
        pending.sends += 1
        self.uses.begin(replica, request_id, tokens, unread_tokens, now_ms)

    def _compute_patience(self, pending: PendingCall) -> float:
        """Return how long to wait for an answer before trying elsewhere."""
        request = pending.request
        is_last = pending.sends >= request.max_attempts
        if is_last or request.repeatability is not Repeatability.REPEATABLE:
            return float("inf")
        retries = self._policy.retries
        factor = retries.stream_patience if request.is_stream else retries.call_patience
        return max(request.target_ms * factor, MIN_PATIENCE_MS)

    def release(self, pending: PendingCall) -> None:
        """Let a call that is over no longer ask for a replica."""
        self._credits.release(pending)

    def is_limited(self, service: ServiceName, now_ms: float) -> bool:
        """Tell whether all replicas that may get a service's calls name limits."""
        if not self._credits.has_limits():
            return False
        usable = self._directory.find_usable(service, now_ms)
        return bool(usable) and all(
            self._credits.find_limit(each.replica.name) for each in usable
        )

    def note_read(self, pending: PendingCall, now_ms: float) -> None:
        """Note that a call's prompt has been read where it was sent."""
        prompt = pending.request.prompt
        service = self.index.find_service(pending.request.service)
        if prompt is None or service is None or service.engine is None:
            return
        if pending.replica is not None:
            for part in prompt.find_shared():
                if part.tokens >= MIN_MOVED_TOKENS:
                    self.reports.note(
                        pending.replica, pending.scope, part.name, part.tokens, now_ms
                    )
            memory_tokens = service.engine.memory_tokens
            self.book.note(
                pending.replica, pending.scope, prompt.parts, now_ms, memory_tokens
            )


def _find_home(
    fingerprint: Fingerprint, usable: Sequence[KnownReplica]
) -> KnownReplica:
    """Return the replica of a suspect, the same on all nodes.

    Runs of one suspect then end one replica, and two suspects seldom share one.
    """
    key = xxhash.xxh3_64_intdigest(fingerprint.encode())
    return max(
        usable, key=lambda each: compute_weight(compute_seed(each.replica.name), key)
    )
