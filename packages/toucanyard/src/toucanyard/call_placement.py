"""Choose the replica of each relayed call and record what it will read."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

import msgspec
import xxhash

from toucanyard.answer_times.answer_times import AnswerTimes
from toucanyard.answer_times.recent_answers import RecentAnswers
from toucanyard.brittle_replicas import BrittleReplicas
from toucanyard.call_forwards import MAX_FORWARDS, CallForwards
from toucanyard.candidates import MIN_TRANSFER_TOKENS
from toucanyard.names import Fingerprint, NodeName, ServiceName
from toucanyard.pending_call import PendingCall
from toucanyard.plain_placement import PlainPlacement
from toucanyard.prompt_block_placement import PlacedPrompt, PromptBlockPlacement
from toucanyard.prompt_block_reports import PromptBlockReports
from toucanyard.prompt_block_sources import (
    PromptBlockSources,
    choose_store,
    compute_store_name,
)
from toucanyard.relay_options import RelayOptions
from toucanyard.relay_requests import (
    PlacementReason,
    Prompt,
    RelayDispatch,
    RelayForward,
)
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replica_connections.kept_connections import KeptConnections
from toucanyard.replica_credits import ReplicaCredits
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replica_weights import ReplicaWeights
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.requests import Repeatability
from toucanyard.routes import EngineTraits, PromptStore, RouteIndex, RouteTable
from toucanyard.silent_replicas import MAX_COMMON_MS, SilentReplicas
from toucanyard.software_versions import SoftwareVersions, VersionRoom
from toucanyard.target_weights import TargetWeightsTable
from toucanyard.uneven_load.placement_inputs import UnevenLoad

MIN_PATIENCE_MS: Final = 400.0
MAX_OLD_SHARE: Final = 0.8
"""Share of the deadline for new weights within which a call may still start on older
ones."""


class CallPlacement:
    """Place calls on the replicas of their service.

    Invariant: each dispatch that it returns is counted in `usage` until it is ended
    there.
    """

    def __init__(
        self,
        options: RelayOptions,
        directory: ReplicaDirectory,
        weight_targets: TargetWeightsTable,
        sources: PromptBlockSources,
        credits: ReplicaCredits,
        forwards: CallForwards,
        build_brittle: Callable[[ReplicaUsage], BrittleReplicas],
        versions: SoftwareVersions,
        uneven: UnevenLoad,
        weights: ReplicaWeights,
        rng: random.Random,
        is_confirmed: Callable[[float], bool] = lambda _: True,
    ) -> None:
        """`is_confirmed` tells whether the routes in force are the newest ones."""
        self._is_confirmed = is_confirmed
        self._uneven = uneven
        self.connections = KeptConnections(options.connections)
        self.answer_times = AnswerTimes()
        self.recent_answers = RecentAnswers()
        self.silences = SilentReplicas()
        self.node_count = 1
        self._versions = versions
        self._forwards = forwards
        self._policy = options.policy
        self._sources = sources
        self._credits = credits
        self._directory = directory
        self._weight_targets = weight_targets
        self.index = RouteIndex(RouteTable())
        self.view_confirmed_ms = float("-inf")
        """Time at which the store last confirmed the list of replicas."""
        self.reports = PromptBlockReports()
        self.usage = ReplicaUsage()
        self.brittle = build_brittle(self.usage)
        self.weights = weights
        self.block_index = weights.block_index
        max_old_ms = options.weights.deadline_ms * MAX_OLD_SHARE
        self._placement = PromptBlockPlacement(
            self.block_index, self.usage, max_old_ms, options.policy
        )
        self._plain = PlainPlacement(options.domain, self.usage, rng)

    def place(
        self, pending: PendingCall, now_ms: float
    ) -> RelayDispatch | RelayForward | None:
        """Choose a replica and count the call there; None if the call has to wait.

        A call whose replica has another node as its sender is forwarded to that node.
        """
        if self._credits.is_awaiting_replica_credit(pending, now_ms):
            return None
        request = pending.request
        service = self.index.find_service(request.service)
        usable: Sequence[KnownReplica]
        usable = self.find_usable(pending, now_ms)
        if pending.hedged_since_ms is not None:
            usable = self._select_heard(pending, usable, now_ms)
        if pending.needs_free_slot:
            usable = [each for each in usable if self._has_free_slot(each, now_ms)]
        untried = [each for each in usable if each.replica.name not in pending.tried]
        # If every usable replica has been tried, try them again.
        usable = untried or usable
        if not usable:
            return None
        if pending.is_suspect:
            usable = [_find_preferred_replica(request.fingerprint, usable)]
        local = self.brittle.select_local(usable, now_ms)
        local = self._credits.select(pending, local, now_ms)
        usable = [*local, *self._list_remote(pending, usable, now_ms)]
        if not usable:
            return None
        if request.prompt is not None and service is not None and service.engine:
            return self._place_prompt(pending, service.engine, usable, now_ms)
        return self._place_plain(pending, usable, now_ms)

    def find_listed(self, pending: PendingCall, now_ms: float) -> list[KnownReplica]:
        """Return the listed replicas at which a call may run."""
        listed = self._directory.find_listed(pending.request.service, now_ms)
        return [each for each in listed if _fits_origin(pending, each)]

    def may_go_on(self, pending: PendingCall, now_ms: float) -> bool:
        """Return whether a replica that has not failed it may take a begun stream."""
        return any(
            each.replica.name not in pending.tried and _fits_weights(pending, each)
            for each in self.find_listed(pending, now_ms)
        )

    def find_usable(self, pending: PendingCall, now_ms: float) -> list[KnownReplica]:
        """Return the replicas that may get a call now."""
        usable = self._directory.find_usable(pending.request.service, now_ms)
        if pending.origin is None:
            return usable
        return [
            each
            for each in usable
            if _fits_origin(pending, each) and not each.may_have_restarted(now_ms)
        ]

    def is_silence_common(self, hedge: PendingCall, now_ms: float) -> bool:
        """Return whether all replicas that may get a hedge may be pausing as well."""
        usable = self.find_usable(hedge, now_ms)
        others = [e for e in usable if e.replica.name not in hedge.silent_at]
        return bool(others) and not self._select_heard(hedge, others, now_ms)

    def _select_heard(
        self, hedge: PendingCall, usable: Sequence[KnownReplica], now_ms: float
    ) -> list[KnownReplica]:
        """Return the replicas at which a hedge may gain something."""
        others = [e for e in usable if e.replica.name not in hedge.silent_at]
        if self._is_long_silent(hedge, now_ms):
            return others
        return [
            each
            for each in others
            if not self.silences.may_pause(each.replica.name, now_ms)
        ]

    def _is_long_silent(self, hedge: PendingCall, now_ms: float) -> bool:
        """Return whether a call is hedged even if all replicas may be pausing."""
        since_ms = hedge.hedged_since_ms
        is_over = since_ms is None or now_ms - since_ms >= MAX_COMMON_MS
        return is_over or not self._policy.retries.avoids_silent

    def needs_free_slot(
        self, silent: PendingCall, hedge: PendingCall, now_ms: float
    ) -> bool:
        """Return whether a silent call most likely waits for a slot at its replica.

        A hedge that has to wait elsewhere as well gains nothing then. A call that is
        silent for long may be lost where others are answered.
        """
        if silent.replica is None or silent.has_begun:
            return False
        since_ms = hedge.hedged_since_ms
        if since_ms is not None and now_ms - since_ms >= MAX_COMMON_MS:
            return False
        is_answering = self.silences.is_answering(silent.replica, now_ms)
        return is_answering and self._policy.retries.spares_slots

    def _has_free_slot(self, known: KnownReplica, now_ms: float) -> bool:
        running = self.usage.compute(known.replica.name, now_ms).running
        return running < max(known.replica.slots, 1)

    def _find_room(self, pending: PendingCall, now_ms: float) -> VersionRoom | None:
        """Return which software versions a new stream should avoid, if any."""
        if pending.origin is not None or not pending.request.is_resumable:
            return None
        return self._versions.find_room(pending.request.service, now_ms)

    def may_place(self, service: ServiceName, now_ms: float) -> bool:
        """Return whether this node places calls on any replica of a service."""
        listed = self._directory.find_listed(service, now_ms)
        return not listed or self.brittle.is_sender_of_any(listed, now_ms)

    def list_senders(self, service: ServiceName, now_ms: float) -> set[NodeName] | None:
        """Return the peers that place calls on a service; None if all nodes do."""
        listed = self._directory.find_listed(service, now_ms)
        if any(self.brittle.find_rate(each) is None for each in listed):
            return None
        senders = (self.brittle.find_sender(each, now_ms) for each in listed)
        return {each.node for each in senders if each is not None} or None

    def _list_remote(
        self, pending: PendingCall, usable: Sequence[KnownReplica], now_ms: float
    ) -> list[KnownReplica]:
        """Return the replicas on which a peer may place a call for this node."""
        request = pending.request
        if request.is_forwarded or pending.forwards >= MAX_FORWARDS:
            return []
        return [
            each
            for each in self.brittle.select_remote(usable, now_ms)
            if self._is_sender_available(each, request.service, now_ms)
        ]

    def _is_sender_available(
        self, known: KnownReplica, service: ServiceName, now_ms: float
    ) -> bool:
        sender = self.brittle.find_sender(known, now_ms)
        return sender is not None and self._forwards.is_available(
            sender.node, service, now_ms
        )

    def _forward_to_sender(
        self, pending: PendingCall, known: KnownReplica, now_ms: float
    ) -> RelayForward | None:
        """Return the forward of a call to its replica's sender, if that is a peer."""
        if self.brittle.find_rate(known) is None:
            return None
        sender = self.brittle.find_sender(known, now_ms)
        if sender is None:
            return None
        self.release(pending)
        return self._forwards.build_to_sender(pending, sender, now_ms)

    def _place_prompt(
        self,
        pending: PendingCall,
        engine: EngineTraits,
        usable: Sequence[KnownReplica],
        now_ms: float,
    ) -> RelayDispatch | RelayForward | None:
        request = pending.request
        prompt = request.prompt
        assert prompt is not None
        target = self._weight_targets.find(prompt.model)
        usable = [each for each in usable if _fits_weights(pending, each)]
        stores = self._sources.find_stores(self.index, now_ms)
        inputs = self._uneven.find_inputs(request.service, now_ms)
        # By the routes in force now, as the customer may be isolated since it arrived.
        cache_group = self.index.find_cache_group(
            request.customer, is_confirmed=self._is_confirmed(now_ms)
        )
        placed = self._placement.choose(
            request,
            prompt,
            engine,
            usable,
            target,
            stores,
            now_ms,
            cache_group=cache_group,
            # The caller of an interrupted stream should learn of a failure at once.
            may_wait_for_reader=not pending.has_begun,
            room=self._find_room(pending, now_ms),
            inputs=inputs,
            connected=self.connections.find_replicas(request, now_ms),
        )
        if placed is None:
            return None
        forward = self._forward_to_sender(pending, placed.replica, now_ms)
        if forward is not None:
            return forward
        replica = placed.replica.replica
        if not self._credits.claim(pending, replica.name, now_ms):
            return None
        pending.weights_version = placed.weights_version
        tokens = prompt.count_tokens() + prompt.max_output_tokens
        self._begin(pending, placed.replica, tokens, placed.unread_tokens, now_ms)
        pending.scope = placed.scope
        pending.unread_tokens = placed.unread_tokens
        speed = self.usage.tokens_per_ms * placed.speed_factor
        read_ms = placed.wait_ms + placed.unread_tokens / speed
        self.block_index.record(
            replica.name,
            placed.scope,
            prompt.parts,
            now_ms + read_ms,
            engine.memory_tokens,
        )
        for block in prompt.parts:
            self.reports.record_read(
                replica.name,
                placed.scope,
                block.name,
                block.tokens,
                now_ms + read_ms,
                is_new=block is placed.missing,
            )
        target_store = self._find_target_store(prompt, placed, stores)
        if target_store is not None:
            self._record_saved(target_store, placed, prompt, now_ms + read_ms)
        reason = PlacementReason(
            total_ms=placed.total_ms,
            wait_ms=placed.wait_ms,
            unread_tokens=placed.unread_tokens,
            fetched_tokens=placed.fetched_tokens,
            considered=placed.considered,
            queued_ms=now_ms - request.arrived_ms,
            view_age_ms=now_ms - self.view_confirmed_ms,
            gone_ms=placed.replica.compute_gone(now_ms),
            speed_factor=placed.speed_factor,
        )
        if self._uneven.is_active(request.service):
            reason = msgspec.structs.replace(reason, short_share=inputs.short_share)
        dispatch = self._build_dispatch(pending, placed.replica, reason, now_ms)
        return msgspec.structs.replace(
            dispatch,
            weights_version=placed.weights_version,
            cache_scope=placed.scope,
            fetch_from=placed.source,
            # Prompt blocks that nobody held are saved to a store, so that they outlive
            # the replica that reads them.
            save_to=None if target_store is None else target_store.address,
        )

    def _find_target_store(
        self, prompt: Prompt, placed: PlacedPrompt, stores: Sequence[PromptStore]
    ) -> PromptStore | None:
        """Return the store to save what the replica reads, if that is worth saving."""
        shared = prompt.find_shared()
        if placed.missing is None or not shared or not self._policy.placement.saves:
            return None
        if prompt.count_shared() < MIN_TRANSFER_TOKENS:
            return None
        domain = placed.replica.replica.domain
        return choose_store(stores, shared[-1].name, domain)

    def _record_saved(
        self,
        target_store: PromptStore,
        placed: PlacedPrompt,
        prompt: Prompt,
        ready_ms: float,
    ) -> None:
        """Record that a store will hold the shared blocks of a prompt."""
        name, shared = compute_store_name(target_store), prompt.find_shared()
        self.block_index.record(
            name, placed.scope, shared, ready_ms, target_store.memory_tokens
        )
        for block in shared:
            self.reports.record_read(
                name, placed.scope, block.name, block.tokens, ready_ms
            )

    def _place_plain(
        self, pending: PendingCall, usable: Sequence[KnownReplica], now_ms: float
    ) -> RelayDispatch | RelayForward | None:
        connected = self.connections.find_replicas(pending.request, now_ms)
        placed = self._plain.choose(usable, now_ms, connected)
        if placed is None:
            return None
        forward = self._forward_to_sender(pending, placed.replica, now_ms)
        if forward is not None:
            return forward
        if not self._credits.claim(pending, placed.replica.replica.name, now_ms):
            return None
        self._begin(pending, placed.replica, 0, 0, now_ms)
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
        return self._build_dispatch(pending, placed.replica, reason, now_ms)

    def _build_dispatch(
        self,
        pending: PendingCall,
        known: KnownReplica,
        reason: PlacementReason,
        now_ms: float,
    ) -> RelayDispatch:
        request, replica = pending.request, known.replica
        connections = self.connections
        may_reuse = connections.may_use(request)
        may_reuse = may_reuse and connections.take(replica.name, now_ms)
        service = self.index.find_service(request.service)
        most = 0 if service is None else service.max_connections
        return RelayDispatch(
            request_id=request.request_id,
            replica=replica.name,
            listed_as=replica.listed_as,
            address=replica.address,
            attempt=pending.attempt,
            hedged=pending.hedged,
            silence=pending.silence,
            rank=request.rank,
            connect_ms=self._policy.retries.connect_ms,
            patience_ms=self._compute_patience(pending),
            reason=reason,
            is_limited=self._credits.find_limit(replica.name) is not None,
            is_brittle=self.brittle.is_brittle(known),
            service=replica.service,
            software_version=replica.software_version,
            may_reuse=may_reuse,
            may_keep=connections.may_keep(replica.name, most, self.node_count, now_ms),
        )

    def _begin(
        self,
        pending: PendingCall,
        known: KnownReplica,
        tokens: int,
        unread_tokens: int,
        now_ms: float,
    ) -> None:
        request_id = pending.request.request_id
        replica = known.replica.name
        pending.replica = replica
        pending.sent_ms = now_ms
        pending.begun_ms = None
        pending.sent_origin = known.software_origin
        pending.dispatches += 1
        pending.attempt = pending.dispatches
        pending.sends += 1
        self.usage.begin(replica, request_id, tokens, unread_tokens, now_ms)
        self.brittle.record_sent(known, now_ms)

    def _compute_patience(self, pending: PendingCall) -> float:
        """Return how long to wait for an answer before trying another replica."""
        request = pending.request
        is_last = pending.sends >= request.max_attempts
        if is_last or request.repeatability is not Repeatability.REPEATABLE:
            return float("inf")
        retries = self._policy.retries
        factor = retries.stream_patience if request.is_stream else retries.call_patience
        return max(request.target_ms * factor, MIN_PATIENCE_MS)

    def release(self, pending: PendingCall) -> None:
        """Stop a finished call from asking for credit."""
        self._credits.release(pending)

    def is_limited(self, service: ServiceName, now_ms: float) -> bool:
        """Return whether all replicas that may get a service's calls have limits."""
        if not self._credits.has_limits():
            return False
        usable = self._directory.find_usable(service, now_ms)
        return bool(usable) and all(
            self._credits.find_limit(each.replica.name) for each in usable
        )

    def record_read(self, pending: PendingCall, now_ms: float) -> None:
        """Record that a call's prompt has been read by its replica."""
        prompt = pending.request.prompt
        service = self.index.find_service(pending.request.service)
        if prompt is None or service is None or service.engine is None:
            return
        if pending.replica is not None:
            for block in prompt.find_shared():
                if block.tokens >= MIN_TRANSFER_TOKENS:
                    self.reports.record_read(
                        pending.replica, pending.scope, block.name, block.tokens, now_ms
                    )
            memory_tokens = service.engine.memory_tokens
            self.block_index.record(
                pending.replica, pending.scope, prompt.parts, now_ms, memory_tokens
            )

    def record_ended(self, pending: PendingCall, now_ms: float) -> None:
        """Count the work of a call that has ended at its replica."""
        prompt = pending.request.prompt
        service = self.index.find_service(pending.request.service)
        if prompt is None or service is None or service.engine is None:
            return
        self._uneven.record_ended(
            pending.request.service,
            prompt,
            pending.unread_tokens / self.usage.tokens_per_ms,
            now_ms - pending.sent_ms,
            now_ms,
        )


def _fits_origin(pending: PendingCall, known: KnownReplica) -> bool:
    """Return whether a call's stream may go on at a replica; true for a new one."""
    version = known.replica.software_version
    return pending.origin is None or pending.origin.software_version == version


def _fits_weights(pending: PendingCall, known: KnownReplica) -> bool:
    """Return whether a replica has the weights of an answer that has begun.

    Output of another weights version can't continue the same answer.
    """
    prompt, version = pending.request.prompt, pending.weights_version
    if not pending.has_begun or prompt is None or version is None:
        return True
    return known.weights.get(prompt.model) == version


def _find_preferred_replica(
    fingerprint: Fingerprint, usable: Sequence[KnownReplica]
) -> KnownReplica:
    """Return the replica for a suspected request, the same on all nodes.

    Repeats of one suspect then crash at most one replica, and two suspects seldom share
    one.
    """
    key = xxhash.xxh3_64_intdigest(fingerprint.encode())
    return max(
        usable, key=lambda each: compute_weight(compute_seed(each.replica.name), key)
    )
