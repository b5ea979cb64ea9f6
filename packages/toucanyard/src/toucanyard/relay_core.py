"""Decision logic of one node that relays calls: events in, actions out.

Owns one instance of each decision module and dispatches events to them. It has no
sockets, clock or tasks, so any number of nodes can be run in one process.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.brittle_replicas import BrittleReplicas
from toucanyard.call_forwards import CallForwards
from toucanyard.call_limits import CallLimits, compute_first_request_number
from toucanyard.call_placement import CallPlacement
from toucanyard.confirmed_configuration import ConfirmedConfiguration
from toucanyard.fault_location import FaultLocator
from toucanyard.guard_events import GuardEvents
from toucanyard.keyed_view import Decode, Topic
from toucanyard.known_facts import KnownFacts
from toucanyard.leases import MAX_FOLLOWERS
from toucanyard.limit_coordinators import LimitCoordinators
from toucanyard.limit_events import LimitEvents
from toucanyard.link_messages import (
    CreditAnswer,
    CreditAsk,
    LinkMessage,
    NodeStatus,
    OriginAnswer,
    OriginAsk,
    OriginReport,
    ViewRecords,
)
from toucanyard.log_position import START
from toucanyard.names import Address, NodeId, NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.origin_events import OriginEvents
from toucanyard.origin_exchange import OriginExchange
from toucanyard.own_announcement import OwnAnnouncement
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.prompt_block_sources import PromptBlockSources
from toucanyard.prompt_block_updates import PromptBlockUpdates
from toucanyard.reach_events import ReachEvents
from toucanyard.relay_events import (
    AttemptContinued,
    AttemptSilent,
    CallArrived,
    CallerLeft,
    ConnectionProbed,
    DispatchEnded,
    FirstEventSeen,
    ForwardEnded,
    HolderLost,
    LeaseAppended,
    LeaseRead,
    LinkMessageRead,
    LogEntry,
    NodeAnnounced,
    OrderAnswered,
    OriginErased,
    OriginWritten,
    PeersLinked,
    PromptBlocksChanged,
    QuarantineErased,
    QuarantineWritten,
    RelayAction,
    RelayEvent,
    ReplicaStatementSeen,
    ReplicaStateRead,
    StopBegun,
    StoreEraSeen,
    StoreFailed,
    StreamRecordsFailed,
    StreamRecordsRead,
    TickPassed,
    TopicRead,
    TriesAppended,
)
from toucanyard.relay_flow import RelayFlow
from toucanyard.relay_options import RelayOptions
from toucanyard.replica_credits import ReplicaCredits
from toucanyard.replica_gossip import ReplicaGossip
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_probes import ReplicaProbes
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_weights import ReplicaWeights
from toucanyard.replicas import ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.requests import DispatchEnding
from toucanyard.resumed_streams import ResumedStreams
from toucanyard.rollout_leader import ORDERS_SUBJECT, RolloutLeader
from toucanyard.routes import RouteIndex
from toucanyard.shared_limits import SharedLimits
from toucanyard.software_versions import SoftwareVersions
from toucanyard.statement_events import StatementEvents
from toucanyard.status_exchange import StatusExchange
from toucanyard.store_era import StoreEra
from toucanyard.store_reads import StoreReads
from toucanyard.store_schedule import compute_unconfirmed_age
from toucanyard.target_weights import TargetWeightsTable
from toucanyard.topic_updates import TopicUpdates
from toucanyard.uneven_load.placement_inputs import UnevenLoad
from toucanyard.view_exchange import ViewExchange

PRUNE_MS: Final = 5_000.0
ORIGINS_SUBJECT: Final = "origins"
"""Ranks the nodes that erase origins which no stream has any more."""
TICK_MS: Final = 25.0
"""Tick interval in a full mesh."""
LARGE_FLEET_TICK_MS: Final = 50.0
"""Tick interval in a larger fleet, whose nodes are many and small."""
IDLE_TICK_MS: Final = 125.0
"""Tick interval of a node of a large fleet that has no calls, weights to order or
group. Without events it only sends a status every third tick, and most nodes of a large
fleet are idle."""
MISDIRECTED_STATUS: Final = 421
"""Status of a replica's response to an order that names another replica."""

CallEvent = (
    CallArrived
    | CallerLeft
    | FirstEventSeen
    | AttemptSilent
    | AttemptContinued
    | DispatchEnded
    | ForwardEnded
    | ReplicaStatementSeen
)
PassiveEvent = (
    PromptBlocksChanged
    | HolderLost
    | QuarantineWritten
    | QuarantineErased
    | NodeAnnounced
)
RolloutEvent = LeaseRead | LeaseAppended | ReplicaStateRead | OrderAnswered


class RelayCore:
    """The decision logic of one node incarnation.

    Invariant: state changes only inside `handle`, so all actions of one event are known
    before the next event is handled.
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
        self.weight_targets = TargetWeightsTable()
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
        self.era = StoreEra()
        self.node_directory = NodeDirectory(self.own_record, options.seeds)
        self.exchange = ViewExchange(decode, self.node_directory.is_full_mesh, rng)
        self.confirmed = ConfirmedConfiguration(self.node_directory)
        self.sources = PromptBlockSources(self.directory, self.node_directory)
        self.reach = ReplicaReach(self.directory)
        self.faults = FaultLocator(self.reach, self.node_directory)
        self.forwards = CallForwards(self.node_directory, self.reach, rng)
        self.replica_limits = ReplicaLimits(rng)
        self.brittleness = ReplicaLimits(rng, "replica_brittleness_changed")
        self.credits = ReplicaCredits(
            self.replica_limits, compute_first_request_number(identity.incarnation)
        )
        self.versions = SoftwareVersions(self.directory)
        self.origins = OriginExchange(
            self.node_directory, self.versions, self._is_store_overdue
        )
        self.resumed = ResumedStreams(self.origins)
        self.uneven = UnevenLoad(self.directory, options.policy.uneven)
        weights = ReplicaWeights(
            self.directory, PromptBlockIndex(), self._may_check_weights
        )
        calls = self.calls = CallPlacement(
            options,
            self.directory,
            self.weight_targets,
            self.sources,
            self.credits,
            self.forwards,
            lambda usage: BrittleReplicas(
                self.brittleness,
                self.directory,
                self.node_directory,
                self.reach,
                usage,
            ),
            self.versions,
            self.uneven,
            weights,
            rng,
            self.confirmed.is_confirmed,
        )
        self.guard = RequestGuard(
            self.directory,
            self.node_directory.find_rank,
            rng,
            options.policy.guard,
            self.faults.is_blind,
        )
        self.probes = ReplicaProbes(
            self.directory,
            self.guard,
            self.reach.is_unreached,
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
            self.weight_targets,
            calls,
            self.guard,
            self.limits,
            self.reach,
            self.forwards,
            self.resumed,
            rng,
        )
        self._origin_events = OriginEvents(self.origins, self.resumed, self.flow)
        self.facts = KnownFacts(
            self.directory,
            self.weight_targets,
            self.node_directory,
            self.flow,
            self.guard,
            self.versions,
        )
        self.parts = PromptBlockUpdates(
            self.flow.block_index, self.sources, self.directory, self.facts
        )
        self.gossip = ReplicaGossip(self.directory, calls.weights, rng)
        self.rollout = RolloutLeader(
            identity,
            options.weights,
            self.directory,
            self.weight_targets,
            self.node_directory,
            self.flow.usage,
            calls.weights,
            options.policy.rollout,
            self.reach.is_unreached,
            self.era,
        )
        self.statuses = StatusExchange(
            self.node_directory,
            self.exchange,
            self.flow.usage,
            self.flow.reports,
            self.gossip,
            self.replica_limits,
            self.guard,
            self.weight_targets,
            lambda now_ms: self.sources.list_stores(self.index, now_ms),
            options.link_mbps,
            self.brittleness,
            self.reach,
            self.faults,
            self.uneven,
            lambda: self.shares.delegation,
        )
        coordinators = LimitCoordinators(
            self.node_directory,
            self.statuses.count_group,
            lambda: self.exchange.views[Topic.NODES].end > START,
            options.policy.limits.strategy,
        )
        self.shares = SharedLimits(
            coordinators, self.limits, self.credits, options.limits
        )
        self.statements = StatementEvents(
            self.directory,
            self.replica_limits,
            self.gossip,
            self.brittleness,
            self.uneven,
            rng,
        )
        self._limit_events = LimitEvents(
            self.shares, self.replica_limits, self.flow, self.statuses
        )
        self.reads = StoreReads(self.node_directory, self.exchange, self.era)
        self._announcement = OwnAnnouncement(
            self.own_record, self.exchange.views[Topic.NODES], rng
        )
        self.topics = TopicUpdates(
            self.exchange,
            self.facts,
            self.directory,
            self.node_directory,
            self.statuses,
            options.weights.deadline_ms,
            self.era,
        )
        self.is_stopping = False
        self._pruned_ms = float("-inf")
        self._guard_events = GuardEvents(self.guard, self.probes)
        self._reach_events = ReachEvents(
            self.reach, self.faults, self.guard, self.directory, self.calls.brittle
        )
        self._hub: NodeName | None = None

    @property
    def index(self) -> RouteIndex:
        """Return the routes in force."""
        return self.facts.index

    def is_ready(self) -> bool:
        """Return whether callers may be directed to this node."""
        return self.index.table.version > 0 and not self.is_stopping

    def find_addresses(self, now_ms: float) -> list[Address]:
        """Return the addresses that callers may connect to."""
        self.node_directory.is_ready = self.is_ready()
        self.node_directory.is_cut_off = self.reach.is_cut_off(now_ms)
        return self.node_directory.find_addresses(now_ms)

    def compute_tick(self) -> float:
        """Return the time until this node needs its next tick, in ms."""
        if self.node_directory.is_full_mesh():
            return TICK_MS
        is_busy = self.flow.count_pending() > 0 or self.rollout.is_busy()
        return (
            LARGE_FLEET_TICK_MS
            if is_busy or self.statuses.has_group()
            else IDLE_TICK_MS
        )

    def handle(self, event: RelayEvent, now_ms: float) -> list[RelayAction]:
        """Handle one event and return the actions to carry out now, in order."""
        self.flow.set_view_confirmed(self.exchange.views[Topic.REPLICAS].confirmed_ms)
        self.confirmed.record_event(now_ms)
        actions = list(self._handle(event, now_ms))
        actions += self._settle_weights(now_ms)
        actions += self._guard_events.settle()
        actions += self._reach_events.settle(now_ms)
        if self._guard_events.consume_urgent_flag() | self._reach_events.has_changed():
            actions += self._send_status_now(now_ms)
        actions += self._limit_events.settle(now_ms)
        actions += self._origin_events.settle(now_ms)
        configuration = self.exchange.views[Topic.OPERATOR]
        self.confirmed.record_confirmed(configuration.confirmed_ms, now_ms)
        return actions

    def _is_store_overdue(self, now_ms: float) -> bool:
        """Return whether no node is known to have had an answer of the store lately."""
        age_ms = now_ms - self.exchange.views[Topic.REPLICAS].confirmed_ms
        return age_ms > compute_unconfirmed_age(
            Topic.REPLICAS, is_full_mesh=self.node_directory.is_full_mesh()
        )

    def _settle_weights(self, now_ms: float) -> Iterator[RelayAction]:
        """Ask replicas whose weights are in doubt, and tell peers of corrections."""
        weights = self.calls.weights
        yield from weights.take_log_entries()
        yield from weights.list_checks(now_ms)
        corrected = weights.take_corrected()
        for name in corrected:
            self.gossip.record_change(name, now_ms)
        if corrected:
            yield from self._send_status_now(now_ms)

    def _may_check_weights(self, now_ms: float) -> bool:
        """Return whether this node asks replicas whose weights others contradict."""
        directory = self.node_directory
        return (
            directory.is_full_mesh()
            or directory.find_rank(ORDERS_SUBJECT, now_ms) < MAX_FOLLOWERS
        )

    def _handle(self, event: RelayEvent, now_ms: float) -> Iterator[RelayAction]:
        match event:
            case (
                CallArrived()
                | CallerLeft()
                | FirstEventSeen()
                | AttemptSilent()
                | AttemptContinued()
                | DispatchEnded()
                | ForwardEnded()
                | ReplicaStatementSeen()
            ):
                yield from self._handle_call(event, now_ms)
            case LeaseRead() | LeaseAppended() | ReplicaStateRead() | OrderAnswered():
                yield from self._handle_rollout(event, now_ms)
            case ConnectionProbed():
                self.reach.record_probe(event, now_ms)
            case TopicRead() | StoreEraSeen() | StoreFailed():
                yield from self._handle_store(event, now_ms)
            case PeersLinked() | LinkMessageRead():
                yield from self._handle_link(event, now_ms)
            case (
                PromptBlocksChanged()
                | HolderLost()
                | QuarantineWritten()
                | QuarantineErased()
                | NodeAnnounced()
            ):
                self._handle_passive(event, now_ms)
            case (
                StreamRecordsRead()
                | StreamRecordsFailed()
                | OriginWritten()
                | OriginErased()
                | TriesAppended()
            ):
                yield from self._origin_events.read_records(event, now_ms)
            case StopBegun(keep_ms=keep_ms, left_ms=left_ms):
                self.is_stopping = True
                self.flow.stop.begin(now_ms + keep_ms, now_ms + left_ms)
                yield from self.statuses.send(self.is_ready(), now_ms)
            case TickPassed():
                yield from self._tick(now_ms)

    def _handle_store(
        self, event: TopicRead | StoreEraSeen | StoreFailed, now_ms: float
    ) -> Iterator[RelayAction]:
        match event:
            case TopicRead():
                yield from self.topics.handle_read(event, now_ms)
                # A poll may have been answered long before its answer was read.
                is_own = event.topic is Topic.OPERATOR and not event.is_polled
                if is_own and self._is_covered(event):
                    self.confirmed.record_own_read(event.asked_ms)
                if self._is_covered(event):
                    yield from self._origin_events.record_topic_read(event, now_ms)
            case StoreEraSeen(era=era):
                yield from self.era.record(era, "store", now_ms)
                self.origins.records.enter_era(era, now_ms)
            case StoreFailed():
                yield self.topics.describe_failure(event, now_ms)

    def _is_covered(self, read: TopicRead) -> bool:
        """Return whether this node's view of a topic has all records of a read."""
        end = self.exchange.views[read.topic].end
        return read.era == end.era and read.position <= end

    def _handle_link(
        self, event: PeersLinked | LinkMessageRead, now_ms: float
    ) -> Iterator[RelayAction]:
        match event:
            case PeersLinked(peers=peers):
                yield from self._link([peer.node for peer in peers], now_ms)
            case LinkMessageRead(sender=sender, message=message):
                yield from self._read_message(sender.node, message, now_ms)

    def _handle_call(self, event: CallEvent, now_ms: float) -> Iterator[RelayAction]:
        match event:
            case CallArrived(request=request):
                yield from self.flow.arrive(request, now_ms)
            case CallerLeft(request_id=request_id):
                yield from self.flow.leave(request_id, now_ms)
            case FirstEventSeen(request_id=request_id, forwarded_origin=origin):
                yield from self.flow.record_first_event(request_id, now_ms, origin)
            case AttemptSilent():
                yield from self.flow.handle_silent(event, now_ms)
            case AttemptContinued():
                yield from self.flow.handle_continued(event, now_ms)
            case ForwardEnded(outcome=outcome):
                yield from self.flow.end_forward(outcome, now_ms)
            case ReplicaStatementSeen():
                yield from self._apply_statement(event, now_ms)
            case DispatchEnded(outcome=outcome):
                yield from self.flow.end_dispatch(outcome, now_ms)
                yield from self.probes.probe_lost(now_ms)
                if outcome.ending is DispatchEnding.REFUSED:
                    # Otherwise each node would learn of it from refusals of its own
                    # calls, some of which may be sent only once.
                    self.gossip.record_change(outcome.replica, now_ms)
                    yield from self._send_status_now(now_ms)

    def _apply_statement(
        self, seen: ReplicaStatementSeen, now_ms: float
    ) -> Iterator[RelayAction]:
        yield from self.statements.on_seen(seen, now_ms)
        if self.statements.consume_urgent_flag():
            yield from self._send_status_now(now_ms)

    def _handle_rollout(
        self, event: RolloutEvent, now_ms: float
    ) -> Iterator[RelayAction]:
        if isinstance(event, OrderAnswered) and event.status == MISDIRECTED_STATUS:
            self.directory.record_replaced(event.order.replica, now_ms)
        if isinstance(event, ReplicaStateRead):
            self.reach.record_state_read(event, now_ms)
            yield from self.probes.on_read(event, now_ms)
        if isinstance(event, LeaseRead | LeaseAppended):
            yield from self.era.record(event.era, "store", now_ms)
        yield from self.rollout.handle(event, now_ms)
        yield from self._tick_rollout(now_ms)

    def _tick(self, now_ms: float) -> Iterator[RelayAction]:
        yield from self.probes.probe_unreachable(now_ms)
        yield from self._guard_events.tick(now_ms)
        yield from self._announcement.tick(now_ms)
        yield from self.topics.tick(now_ms)
        yield from self._limit_events.tick(now_ms)
        yield from self._origin_events.tick(now_ms)
        yield from self.flow.tick(now_ms)
        yield from self._tick_rollout(now_ms)
        yield from self.statuses.tick(self.is_ready(), now_ms)
        yield from self._log_hub_change()
        yield from self.confirmed.log_change(now_ms)
        if now_ms - self._pruned_ms >= PRUNE_MS:
            self._pruned_ms = now_ms
            self.guard.ledger.prune(now_ms)
            self.forwards.prune(now_ms)
            self.calls.silences.prune(now_ms)
            self.versions.refresh(now_ms)
            is_first = self.node_directory.find_rank(ORIGINS_SUBJECT, now_ms) == 0
            yield from self.origins.records.refresh(now_ms, may_erase=is_first)
            for each in self.directory.list_served(now_ms):
                self.calls.weights.check_entry(
                    each, self.calls.view_confirmed_ms, now_ms
                )
            self.origins.prune(now_ms)
            yield from self.facts.apply_held(now_ms)
            for name in self.directory.prune(now_ms):
                self.flow.block_index.forget(name)
            known = [each.replica.name for each in self.directory.list_all()]
            self.replica_limits.retain(known)
            self.brittleness.retain(known)
            self.calls.brittle.retain(known)
            self.uneven.retain(known)
            self.calls.connections.retain(known)
            self.calls.weights.retain(known)

    def _handle_passive(self, event: PassiveEvent, now_ms: float) -> None:
        """Handle an event that needs no action now."""
        match event:
            case PromptBlocksChanged() | HolderLost():
                self.parts.on_change(event, now_ms)
            case QuarantineWritten(era=era) | QuarantineErased(era=era):
                # What an earlier copy has accepted may be lost.
                if era >= self.exchange.views[Topic.NODES].end.era:
                    self._guard_events.on_stored(event, now_ms)
                # Peers receive the record from the node that reads it first.
                self.reads.mark_outdated(Topic.NODES)
            case NodeAnnounced(era=era):
                self._announcement.record_written(era)

    def _log_hub_change(self) -> Iterator[RelayAction]:
        """Log the hub that this node reports to whenever it changes."""
        is_hub = (
            not self.node_directory.is_full_mesh() and self.node_directory.plan.is_hub()
        )
        hub = self.identity.node if is_hub else self.node_directory.find_primary()
        if hub != self._hub:
            before, self._hub = self._hub, hub
            yield LogEntry(
                "hub_changed",
                {"hub": hub or "", "before": before or "", "is_own": is_hub},
            )

    def _tick_rollout(self, now_ms: float) -> Iterator[RelayAction]:
        yield from self.rollout.tick(now_ms, is_leaving=self.is_stopping)
        if not self.options.policy.rollout.announces:
            return
        if self.gossip.record_changing(set(self.rollout.list_changing()), now_ms):
            yield from self._send_status_now(now_ms)

    def _send_status_now(self, now_ms: float) -> Iterator[RelayAction]:
        self.statuses.mark_due()
        yield from self.statuses.tick(self.is_ready(), now_ms)

    def _read_message(
        self, sender: NodeName, message: LinkMessage, now_ms: float
    ) -> Iterator[RelayAction]:
        match message:
            case NodeStatus():
                yield from self._read_status(sender, message, now_ms)
            case ViewRecords():
                yield from self.topics.handle_records(sender, message, now_ms)
            case CreditAsk() | CreditAnswer():
                yield from self._limit_events.read_message(sender, message, now_ms)
            case OriginReport() | OriginAsk() | OriginAnswer():
                yield from self._origin_events.read_message(sender, message, now_ms)

    def _read_status(
        self, sender: NodeName, status: NodeStatus, now_ms: float
    ) -> Iterator[RelayAction]:
        self.statuses.read(sender, status, now_ms)
        if status.exchanges_origins:
            self.origins.record_able(sender, now_ms)
        yield from self.gossip.take_log_entries()
        yield from self._limit_events.read_status(sender, status, now_ms)
        yield from self.brittleness.apply(status.brittleness, sender, now_ms)
        self.flow.apply_node_count(self.node_directory.count_nodes(now_ms))
        for store in status.stores:
            heard_ms = now_ms - store.heard_age_ms
            if self.sources.record_answer(store.store, heard_ms, store.epoch):
                self.flow.block_index.forget(store.store)
        self.parts.apply_read(status.parts, now_ms)
        yield from self.topics.handle_status(sender, status.views, now_ms)

    def _link(self, names: list[NodeName], now_ms: float) -> Iterator[RelayAction]:
        before = set(self.exchange.linked)
        self.exchange.linked = tuple(names)
        self.node_directory.retain_linked(names)
        self.statuses.record_links(names)
        self.shares.update_links(names, now_ms)
        self.origins.update_links(names)
        for name in before - set(names):
            yield LogEntry("peer_lost", {"peer": name})
        for name in set(names) - before:
            yield LogEntry("peer_linked", {"peer": name})
        if set(names) - before:
            self.guard.ledger.share_all(now_ms)
            self.replica_limits.share_all(now_ms)
            self.brittleness.share_all(now_ms)
