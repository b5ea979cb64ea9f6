"""All decisions of one node that relays calls: events in, actions out.

Owns one instance of each decision module and routes events between them. It has no
sockets, clock or tasks, so that any number of nodes can be driven in one process.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.call_limits import CallLimits, compute_first_number
from toucanyard.call_placement import CallPlacement
from toucanyard.keyed_view import Decode, Topic
from toucanyard.known_facts import KnownFacts
from toucanyard.limit_events import LimitEvents
from toucanyard.limit_homes import LimitHomes
from toucanyard.link_messages import (
    CreditAnswer,
    CreditAsk,
    LinkMessage,
    NodeStatus,
    ViewRecords,
)
from toucanyard.names import Address, NodeId, NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.part_intake import PartIntake
from toucanyard.part_sources import PartSources
from toucanyard.relay_events import (
    CallArrived,
    CallerLeft,
    DispatchEnded,
    FirstEventSeen,
    HolderLost,
    LinkMessageRead,
    Note,
    OrderAnswered,
    PartsChanged,
    PeersLinked,
    QuarantineErased,
    QuarantineWritten,
    RelayAction,
    RelayEvent,
    ReplicaLimitSeen,
    ReplicaStateRead,
    StopBegun,
    StoreFailed,
    TickPassed,
    TopicRead,
    TurnAppended,
    TurnRead,
)
from toucanyard.relay_flow import RelayFlow
from toucanyard.relay_options import RelayOptions
from toucanyard.replica_credits import ReplicaCredits
from toucanyard.replica_gossip import ReplicaGossip
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_probes import ReplicaProbes
from toucanyard.replicas import ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.requests import EndingSeen
from toucanyard.rollout_leader import RolloutLeader
from toucanyard.routes import RouteIndex
from toucanyard.shared_limits import SharedLimits
from toucanyard.status_exchange import StatusExchange
from toucanyard.store_reads import StoreReads
from toucanyard.topic_intake import TopicIntake
from toucanyard.view_exchange import ViewExchange
from toucanyard.weights_goals import WeightsGoals

PRUNE_MS: Final = 5_000.0
TICK_MS: Final = 25.0
"""Time between two ticks in a mesh."""
FAR_TICK_MS: Final = 50.0
"""The same in a larger fleet, whose nodes are many and small."""
REST_TICK_MS: Final = 125.0
"""The same for a node that has no call, no weights to order and no group. All that it
does by itself is a status each third tick, and most nodes of a large fleet rest."""
MISDIRECTED: Final = 421
"""Status with which a replica says that it is not the one that was meant."""

CallEvent = CallArrived | CallerLeft | FirstEventSeen | DispatchEnded | ReplicaLimitSeen
QuietEvent = PartsChanged | HolderLost | QuarantineWritten | QuarantineErased
RolloutEvent = TurnRead | TurnAppended | ReplicaStateRead | OrderAnswered


class RelayCore:
    """The decisions of one node incarnation.

    Invariant: state changes only inside `handle`, so the actions of one event are
    complete before the next event is taken.
    """

    def __init__(
        self,
        options: RelayOptions,
        identity: NodeId,
        decode: Decode,
        rng: random.Random,
    ) -> None:
        self.options = options
        self.identity = identity
        self.goals = WeightsGoals()
        self.directory = ReplicaDirectory(options.drain_ms)
        listen = options.listen
        self.own_record = NodeRecord(
            identity.node,
            identity.incarnation,
            options.domain,
            listen.callers,
            listen.peers,
            options.link_mbps,
        )
        self.node_directory = NodeDirectory(self.own_record, options.seeds)
        self.exchange = ViewExchange(decode, self.node_directory.is_full_mesh, rng)
        self.sources = PartSources(self.directory, self.node_directory)
        self.replica_limits = ReplicaLimits(rng)
        self.credits = ReplicaCredits(
            self.replica_limits, compute_first_number(identity.incarnation)
        )
        calls = CallPlacement(
            options,
            self.directory,
            self.goals,
            self.sources,
            self.credits,
            rng,
        )
        self.guard = RequestGuard(
            self.directory, self.node_directory.find_rank, rng, options.policy.guard
        )
        self.probes = ReplicaProbes(
            self.directory,
            self.guard,
            lambda: (
                options.policy.retries.probes and self.node_directory.is_full_mesh()
            ),
        )
        self.limits = CallLimits(
            options.limits, options.policy.limits, identity.incarnation
        )
        self.flow = RelayFlow(
            options.retries,
            options.policy,
            self.directory,
            self.goals,
            calls,
            self.guard,
            self.limits,
            rng,
        )
        self.facts = KnownFacts(
            self.directory, self.goals, self.node_directory, self.flow, self.guard
        )
        self.parts = PartIntake(
            self.flow.book, self.sources, self.directory, self.facts
        )
        self.gossip = ReplicaGossip(self.directory, self.flow.book, rng)
        self.rollout = RolloutLeader(
            identity,
            options.weights,
            self.directory,
            self.goals,
            self.node_directory,
            self.flow.uses,
            options.policy.rollout,
        )
        self.statuses = StatusExchange(
            self.node_directory,
            self.exchange,
            self.flow.uses,
            self.flow.reports,
            self.gossip,
            self.replica_limits,
            self.guard,
            self.goals,
            lambda now_ms: self.sources.list_stores(self.index, now_ms),
            options.link_mbps,
            lambda: self.shares.pledge,
        )
        homes = LimitHomes(
            self.node_directory,
            self.statuses.count_group,
            lambda: self.exchange.views[Topic.NODES].end > 0,
            options.policy.limits.way,
        )
        self.shares = SharedLimits(homes, self.limits, self.credits, options.limits)
        self._limit_events = LimitEvents(
            self.shares, self.replica_limits, self.flow, self.statuses
        )
        self.reads = StoreReads(self.node_directory, self.exchange)
        self.topics = TopicIntake(
            self.exchange,
            self.facts,
            self.directory,
            self.node_directory,
            self.statuses,
            options.weights.deadline_ms,
        )
        self.is_stopping = False
        self._pruned_ms = float("-inf")
        self._hub: NodeName | None = None

    @property
    def index(self) -> RouteIndex:
        """Return the routes in force."""
        return self.facts.index

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.index.table.version > 0 and not self.is_stopping

    def find_addresses(self, now_ms: float) -> list[Address]:
        """Return where callers may connect."""
        self.node_directory.is_ready = self.is_ready()
        return self.node_directory.find_addresses(now_ms)

    def compute_tick(self) -> float:
        """Return the time until this node needs its next tick, in ms."""
        if self.node_directory.is_full_mesh():
            return TICK_MS
        is_busy = self.flow.count_pending() > 0 or self.rollout.is_busy()
        return FAR_TICK_MS if is_busy or self.statuses.has_group() else REST_TICK_MS

    def handle(self, event: RelayEvent, now_ms: float) -> list[RelayAction]:
        """Take one event in and return what must be done now, in this order."""
        self.flow.note_view(self.exchange.views[Topic.REPLICAS].confirmed_ms)
        actions = list(self._handle(event, now_ms))
        if self.guard.has_updates():
            actions += self._settle_guard(now_ms)
        actions += self._limit_events.settle(now_ms)
        return actions

    def _handle(self, event: RelayEvent, now_ms: float) -> Iterator[RelayAction]:
        match event:
            case (
                CallArrived()
                | CallerLeft()
                | FirstEventSeen()
                | DispatchEnded()
                | ReplicaLimitSeen()
            ):
                yield from self._handle_call(event, now_ms)
            case TurnRead() | TurnAppended() | ReplicaStateRead() | OrderAnswered():
                yield from self._handle_rollout(event, now_ms)
            case TopicRead():
                yield from self.topics.take_read(event, now_ms)
            case StoreFailed():
                yield _note_failed(event, now_ms)
            case PeersLinked(peers=peers):
                yield from self._link([peer.node for peer in peers], now_ms)
            case LinkMessageRead(sender=sender, message=message):
                yield from self._read_message(sender.node, message, now_ms)
            case (
                PartsChanged() | HolderLost() | QuarantineWritten() | QuarantineErased()
            ):
                self._handle_quiet(event, now_ms)
            case StopBegun():
                self.is_stopping = True
                yield from self.statuses.send(self.is_ready(), now_ms)
            case TickPassed():
                yield from self._tick(now_ms)

    def _handle_call(self, event: CallEvent, now_ms: float) -> Iterator[RelayAction]:
        match event:
            case CallArrived(request=request):
                yield from self.flow.arrive(request, now_ms)
            case CallerLeft(request_id=request_id):
                yield from self.flow.leave(request_id, now_ms)
            case FirstEventSeen(request_id=request_id):
                yield from self.flow.note_first(request_id, now_ms)
            case ReplicaLimitSeen():
                yield from self._limit_events.on_seen(event, now_ms)
            case DispatchEnded(outcome=outcome):
                yield from self.flow.end_dispatch(outcome, now_ms)
                yield from self.probes.probe_lost(now_ms)
                if outcome.ending is EndingSeen.REFUSED:
                    # Each node would else find out by calls of its own, and have some
                    # of them refused that may be sent only once.
                    self.gossip.record_change(outcome.replica, now_ms)
                    yield from self._tell_soon(now_ms)

    def _handle_rollout(
        self, event: RolloutEvent, now_ms: float
    ) -> Iterator[RelayAction]:
        if isinstance(event, OrderAnswered) and event.status == MISDIRECTED:
            self.directory.record_replaced(event.order.replica, now_ms)
        if isinstance(event, ReplicaStateRead):
            yield from self.probes.on_read(event, now_ms)
        self.rollout.handle(event, now_ms)
        yield from self._tick_rollout(now_ms)

    def _tick(self, now_ms: float) -> Iterator[RelayAction]:
        yield from self.probes.probe_unreachable(now_ms)
        yield from self._tick_guard(now_ms)
        yield from self._limit_events.tick(now_ms)
        yield from self.flow.tick(now_ms)
        yield from self._tick_rollout(now_ms)
        yield from self.statuses.tick(self.is_ready(), now_ms)
        yield from self._note_hub()
        if now_ms - self._pruned_ms >= PRUNE_MS:
            self._pruned_ms = now_ms
            self.guard.ledger.prune(now_ms)
            for name in self.directory.prune(now_ms):
                self.flow.book.forget(name)
            known = (each.replica.name for each in self.directory.list_all())
            self.replica_limits.retain(known)

    def _settle_guard(self, now_ms: float) -> Iterator[RelayAction]:
        """Log what the guard has learned, and let peers know at once."""
        yield from self.guard.take_notes()
        if self.guard.take_urgent():
            yield from self._tell_soon(now_ms)

    def _handle_quiet(self, event: QuietEvent, now_ms: float) -> None:
        """Handle an event that asks for nothing to be done now."""
        match event:
            case PartsChanged() | HolderLost():
                self.parts.on_change(event, now_ms)
            case QuarantineWritten() | QuarantineErased():
                self._on_quarantine_stored(event, now_ms)

    def _on_quarantine_stored(
        self, event: QuarantineWritten | QuarantineErased, now_ms: float
    ) -> None:
        match event:
            case QuarantineWritten(fingerprint=fingerprint):
                self.guard.quarantine.on_written(fingerprint, now_ms)
            case QuarantineErased(fingerprint=fingerprint):
                self.guard.quarantine.on_erased(fingerprint)
        # Peers get the record from whoever reads it first.
        self.reads.mark_outdated(Topic.NODES)

    def _tick_guard(self, now_ms: float) -> Iterator[RelayAction]:
        self.guard.tick(now_ms)
        yield from self.probes.probe_lost(now_ms)
        yield from self.guard.quarantine.tick(now_ms)

    def _note_hub(self) -> Iterator[RelayAction]:
        """Say to whom this node reports, each time that this changes."""
        is_hub = (
            not self.node_directory.is_full_mesh() and self.node_directory.plan.is_hub()
        )
        hub = self.identity.node if is_hub else self.node_directory.find_primary()
        if hub != self._hub:
            before, self._hub = self._hub, hub
            yield Note(
                "hub_changed",
                {"hub": hub or "", "before": before or "", "is_own": is_hub},
            )

    def _tick_rollout(self, now_ms: float) -> Iterator[RelayAction]:
        yield from self.rollout.tick(now_ms, is_leaving=self.is_stopping)
        if not self.options.policy.rollout.announces:
            return
        if self.gossip.record_changing(set(self.rollout.list_changing()), now_ms):
            yield from self._tell_soon(now_ms)

    def _tell_soon(self, now_ms: float) -> Iterator[RelayAction]:
        self.statuses.mark_due()
        yield from self.statuses.tick(self.is_ready(), now_ms)

    def _read_message(
        self, sender: NodeName, message: LinkMessage, now_ms: float
    ) -> Iterator[RelayAction]:
        match message:
            case NodeStatus():
                yield from self._read_status(sender, message, now_ms)
            case ViewRecords():
                yield from self.topics.take_records(sender, message, now_ms)
            case CreditAsk() | CreditAnswer():
                yield from self._limit_events.read_message(sender, message, now_ms)

    def _read_status(
        self, sender: NodeName, status: NodeStatus, now_ms: float
    ) -> Iterator[RelayAction]:
        self.statuses.read(sender, status, now_ms)
        yield from self._limit_events.read_status(sender, status, now_ms)
        self.flow.apply_node_count(self.node_directory.count_nodes(now_ms))
        for store in status.stores:
            heard_ms = now_ms - store.heard_age_ms
            if self.sources.note_heard(store.store, heard_ms, store.epoch):
                self.flow.book.forget(store.store)
        self.parts.apply_read(status.parts, now_ms)
        yield from self.topics.answer_status(sender, status.views, now_ms)

    def _link(self, names: list[NodeName], now_ms: float) -> Iterator[RelayAction]:
        before = set(self.exchange.linked)
        self.exchange.linked = tuple(names)
        self.node_directory.retain_linked(names)
        self.statuses.record_links(names)
        self.shares.record_links(names, now_ms)
        for name in before - set(names):
            yield Note("peer_lost", {"peer": name})
        for name in set(names) - before:
            yield Note("peer_linked", {"peer": name})
        if set(names) - before:
            self.guard.ledger.share_all(now_ms)
            self.replica_limits.share_all(now_ms)


def _note_failed(failed: StoreFailed, now_ms: float) -> Note:
    fields = {
        "purpose": failed.purpose,
        "reason": failed.reason,
        "after_ms": round(now_ms - failed.asked_ms),
    }
    return Note("store_failed", fields)
