"""All decisions of one node that relays calls: events in, actions out.

Owns one instance of each decision module and routes events between them. It has no
sockets, clock or tasks, so that any number of nodes can be driven in one process.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from toucanyard.keyed_view import Change, Decode, KeyedView, Topic
from toucanyard.link_messages import (
    NodeStatus,
    ReadPart,
    ReplicaNews,
    ViewRecords,
    ViewStatus,
)
from toucanyard.names import Address, EndpointName, NodeId, NodeName
from toucanyard.part_book import Part
from toucanyard.relay_events import (
    CallArrived,
    CallerLeft,
    DispatchEnded,
    FirstEventSeen,
    LinkMessageRead,
    Note,
    OrderAnswered,
    PeersLinked,
    RelayAction,
    RelayEvent,
    ReplicaStateRead,
    SendToPeer,
    StopBegun,
    StoreFailed,
    TickPassed,
    TopicRead,
    TurnAppended,
    TurnRead,
)
from toucanyard.relay_flow import RelayFlow
from toucanyard.relay_options import RelayOptions
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.requests import EndingSeen
from toucanyard.roster import NodeRecord, Roster
from toucanyard.routes import RouteIndex, RouteTable
from toucanyard.store_schedule import compute_poll_wait, is_read_due
from toucanyard.weights_duty import WeightsDuty
from toucanyard.weights_goals import WantedWeights, WeightsGoals

STATUS_MS: Final = 250.0
"""Time between two statuses to one peer."""
PUSH_AGAIN_MS: Final = 700.0
"""After this time records are sent again to a peer whose status lacks them."""
STORE_TROUBLE_MS: Final = 2_500.0
"""How long after a failed call the store counts as in trouble: replicas that lapsed
while it was away are listed again within two seconds of its return."""
NEWS_KEPT_MS: Final = 5_000.0
"""How long weights that a replica has taken are told to peers; by then the store says
the same."""
PRUNE_MS: Final = 5_000.0
MISDIRECTED: Final = 421
"""Status with which a replica says that it is not the one that was meant."""


class RelayCore:
    """The decisions of one node incarnation.

    Invariants: state changes only inside `handle`; the version of the routes in force
    never falls.
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
        self.views = {topic: KeyedView(topic, decode) for topic in Topic}
        self.index = RouteIndex(RouteTable())
        self.goals = WeightsGoals()
        self.directory = ReplicaDirectory()
        self.own_record = NodeRecord(
            identity.node,
            identity.incarnation,
            options.domain,
            options.listen.callers,
            options.listen.peers,
        )
        self.roster = Roster(self.own_record, options.seeds)
        self.flow = RelayFlow(options, self.directory, self.goals, rng)
        self.duty = WeightsDuty(
            identity,
            float(options.weights.lease_ms),
            self.directory,
            self.goals,
            self.roster,
            self.flow.uses,
        )
        self.is_stopping = False
        self._linked: tuple[NodeName, ...] = ()
        self._pushed: dict[tuple[NodeName, Topic], tuple[int, float]] = {}
        self._asked_ms = dict.fromkeys(Topic, float("-inf"))
        self._status_ms = float("-inf")
        self._trouble_ms = float("-inf")
        self._pruned_ms = float("-inf")
        self._is_status_due = False
        self._told_changing: set[EndpointName] = set()
        self._changed_ms: dict[EndpointName, float] = {}

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.index.table.version > 0 and not self.is_stopping

    def find_addresses(self, now_ms: float) -> list[Address]:
        """Return where callers may connect."""
        self.roster.is_ready = self.is_ready()
        return self.roster.find_addresses(now_ms)

    def is_read_due(self, topic: Topic, now_ms: float) -> bool:
        """Tell whether this node should read a topic that changes all the time."""
        view = self.views[topic]
        rank = self.roster.find_rank(topic.value, now_ms)
        return is_read_due(rank, view.confirmed_ms, self._asked_ms[topic], now_ms)

    def note_read_begun(self, topic: Topic, now_ms: float) -> None:
        """Note that this node asks the store for a topic."""
        self._asked_ms[topic] = now_ms

    def compute_poll_wait(self, now_ms: float) -> float:
        """Return how long a read of a topic that seldom changes may wait, in ms."""
        return compute_poll_wait(self.roster.count_alive(now_ms))

    def handle(self, event: RelayEvent, now_ms: float) -> list[RelayAction]:
        """Take one event in and return what must be done now, in this order."""
        self.flow.view_confirmed_ms = self.views[Topic.REPLICAS].confirmed_ms
        return list(self._handle(event, now_ms))

    def _handle(self, event: RelayEvent, now_ms: float) -> Iterator[RelayAction]:
        match event:
            case CallArrived(request=request):
                yield from self.flow.arrive(request, now_ms)
            case CallerLeft(request_id=request_id):
                yield from self.flow.leave(request_id, now_ms)
            case FirstEventSeen(request_id=request_id):
                yield from self.flow.note_first(request_id, now_ms)
            case DispatchEnded(outcome=outcome):
                yield from self.flow.end_dispatch(outcome, now_ms)
                if outcome.ending is EndingSeen.REFUSED:
                    # Each node would else find out by calls of its own, and have some
                    # of them refused that may be sent only once.
                    self._changed_ms[outcome.replica] = now_ms
                    yield from self._send_status(now_ms)
            case TopicRead():
                yield from self._read_topic(event, now_ms)
            case StoreFailed(purpose=purpose, reason=reason):
                yield from self._note_trouble(purpose, reason, now_ms)
            case PeersLinked(peers=peers):
                yield from self._link([peer.node for peer in peers])
            case LinkMessageRead(sender=sender, message=message):
                yield from self._read_message(sender.node, message, now_ms)
            case TurnRead() | TurnAppended() | ReplicaStateRead() | OrderAnswered():
                if isinstance(event, OrderAnswered) and event.status == MISDIRECTED:
                    self.directory.note_replaced(event.order.replica, now_ms)
                self.duty.handle(event, now_ms)
                yield from self._tick_duty(now_ms)
            case StopBegun():
                self.is_stopping = True
                yield from self._send_status(now_ms)
            case TickPassed():
                yield from self._tick(now_ms)

    def _tick(self, now_ms: float) -> Iterator[RelayAction]:
        yield from self.flow.tick(now_ms)
        yield from self._tick_duty(now_ms)
        if self._is_status_due or now_ms - self._status_ms >= STATUS_MS:
            yield from self._send_status(now_ms)
        if now_ms - self._pruned_ms >= PRUNE_MS:
            self._pruned_ms = now_ms
            for name in self.directory.prune(now_ms):
                self.flow.book.forget(name)

    def _tick_duty(self, now_ms: float) -> Iterator[RelayAction]:
        if self.is_stopping:
            return
        yield from self.duty.tick(now_ms)
        changing = set(self.duty.list_changing())
        if changing != self._told_changing:
            for name in changing | self._told_changing:
                self._changed_ms[name] = now_ms
            self._told_changing = changing
            yield from self._send_status(now_ms)

    def _read_topic(self, read: TopicRead, now_ms: float) -> Iterator[RelayAction]:
        view = self.views[read.topic]
        before = view.end
        if self._trouble_ms > float("-inf") and now_ms - self._trouble_ms > 10_000:
            self._trouble_ms = float("-inf")
        changes = view.apply(read.records, read.end, is_whole=read.is_whole)
        view.confirm(read.end, read.asked_ms)
        yield from self._apply_changes(read.topic, changes, now_ms, "store")
        if changes or view.end > before:
            yield from self._push(read.topic, before, now_ms)

    def _note_trouble(
        self, purpose: str, reason: str, now_ms: float
    ) -> Iterator[RelayAction]:
        self._trouble_ms = now_ms
        yield Note("store_failed", {"purpose": purpose, "reason": reason})

    def _apply_changes(
        self, topic: Topic, changes: Sequence[Change], now_ms: float, source: str
    ) -> Iterator[RelayAction]:
        gone: list[EndpointName] = []
        for change in changes:
            match change.fact or change.before:
                case RouteTable() as table if change.fact is not None:
                    yield from self._apply_table(table, source)
                case WantedWeights() as wanted if change.fact is not None:
                    if self.goals.apply(wanted, now_ms):
                        yield Note(
                            "weights_wanted",
                            {
                                "model": wanted.model,
                                "version": wanted.version,
                                "source": source,
                            },
                        )
                case Replica() as replica if change.fact is not None:
                    yield from self._apply_replica(replica, source)
                case Replica() as replica:
                    gone.append(replica.name)
                case NodeRecord() as record if change.fact is not None:
                    self.roster.apply(record)
                    yield Note("node_known", {"node": record.name, "source": source})
                case NodeRecord() as record:
                    self.roster.remove(record.name)
                    yield Note("node_gone", {"node": record.name, "source": source})
        if gone:
            is_doubtful = now_ms - self._trouble_ms < STORE_TROUBLE_MS
            self.directory.remove(gone, now_ms, is_doubtful=is_doubtful)
            for name in gone:
                yield Note(
                    "replica_gone",
                    {"replica": name, "source": source, "is_doubtful": is_doubtful},
                )

    def _apply_table(self, table: RouteTable, source: str) -> Iterator[RelayAction]:
        before = self.index.table.version
        if table.version <= before:
            return
        self.index = RouteIndex(table)
        self.flow.apply_index(self.index)
        yield Note(
            "routes_in_force",
            {"version": table.version, "before": before, "source": source},
        )

    def _apply_replica(self, replica: Replica, source: str) -> Iterator[RelayAction]:
        before = self.directory.find(replica.name)
        was_leaving = before is not None and before.is_leaving
        had = {} if before is None else dict(before.weights)
        self.directory.apply(replica)
        known = self.directory.find(replica.name)
        assert known is not None
        if any(version > had.get(model, version) for model, version in replica.weights):
            self.flow.book.forget(replica.name)
        if before is None or was_leaving != known.is_leaving or had != known.weights:
            yield Note(
                "replica_known",
                {
                    "replica": replica.name,
                    "service": replica.service,
                    "address": replica.address,
                    "is_leaving": known.is_leaving,
                    "weights": dict(known.weights),
                    "source": source,
                },
            )

    def _link(self, names: list[NodeName]) -> Iterator[RelayAction]:
        before = set(self._linked)
        self._linked = tuple(names)
        for name in self.roster.retain_linked(names):
            self.flow.uses.forget_peer(name)
        for name in before - set(names):
            yield Note("peer_lost", {"peer": name})
        for name in set(names) - before:
            yield Note("peer_linked", {"peer": name})
        self._is_status_due = True

    def _read_message(
        self, sender: NodeName, message: NodeStatus | ViewRecords, now_ms: float
    ) -> Iterator[RelayAction]:
        match message:
            case NodeStatus():
                yield from self._read_status(sender, message, now_ms)
            case ViewRecords():
                yield from self._read_records(sender, message, now_ms)

    def _read_status(
        self, sender: NodeName, status: NodeStatus, now_ms: float
    ) -> Iterator[RelayAction]:
        self.roster.note_status(sender, status.is_ready, now_ms)
        self.flow.node_count = self.roster.count_alive(now_ms)
        self.flow.uses.apply_peer(sender, status.uses, now_ms)
        if status.store_trouble_age_ms >= 0:
            trouble_ms = now_ms - status.store_trouble_age_ms
            self._trouble_ms = max(self._trouble_ms, trouble_ms)
        for news in status.news:
            self._apply_news(news, now_ms)
        self._apply_parts(status.parts, now_ms)
        for each in status.views:
            view = self.views[each.topic]
            if each.confirmed_age_ms >= 0:
                view.confirm(each.end, now_ms - each.confirmed_age_ms)
            if each.end < view.end:
                yield from self._push_to(sender, each.topic, each.end, now_ms)

    def _apply_news(self, news: ReplicaNews, now_ms: float) -> None:
        known = self.directory.find(news.replica)
        if known is None:
            return
        if news.loading_left_ms > 0:
            # Others may not know yet, so what they don't say doesn't end the pause.
            until_ms = now_ms + news.loading_left_ms
            known.loading_until_ms = max(known.loading_until_ms, until_ms)
        for model, version in news.weights:
            if known.note_weights(model, version):
                self.flow.book.forget(news.replica)

    def _apply_parts(self, parts: Iterable[ReadPart], now_ms: float) -> None:
        for each in parts:
            memory_tokens = self._find_memory(each.replica)
            if memory_tokens:
                self.flow.book.note(
                    each.replica,
                    each.scope,
                    (Part(each.part, each.tokens),),
                    now_ms + each.ready_in_ms,
                    memory_tokens,
                )

    def _find_memory(self, name: EndpointName) -> int:
        known = self.directory.find(name)
        if known is None:
            return 0
        service = self.index.find_service(known.replica.service)
        if service is None or service.engine is None:
            return 0
        return service.engine.memory_tokens

    def _read_records(
        self, sender: NodeName, message: ViewRecords, now_ms: float
    ) -> Iterator[RelayAction]:
        view = self.views[message.topic]
        if message.since > view.end and not message.is_whole:
            # Something between is missing; this node's status will show it.
            return
        before = view.end
        changes = view.apply(message.records, message.end, is_whole=message.is_whole)
        if message.confirmed_age_ms >= 0:
            view.confirm(message.end, now_ms - message.confirmed_age_ms)
        yield from self._apply_changes(message.topic, changes, now_ms, sender)
        if changes and len(self._linked) < self.roster.count_alive(now_ms) - 1:
            yield from self._push(message.topic, before, now_ms)

    def _push(self, topic: Topic, since: int, now_ms: float) -> Iterator[RelayAction]:
        """Tell all linked peers of new records."""
        for name in self._linked:
            yield self._build_records(name, topic, since, now_ms)

    def _push_to(
        self, name: NodeName, topic: Topic, since: int, now_ms: float
    ) -> Iterator[RelayAction]:
        """Tell a peer what it lacks, unless it was told just now."""
        end = self.views[topic].end
        pushed_end, pushed_ms = self._pushed.get((name, topic), (-1, float("-inf")))
        if pushed_end >= end and now_ms - pushed_ms < PUSH_AGAIN_MS:
            return
        yield self._build_records(name, topic, since, now_ms)

    def _build_records(
        self, name: NodeName, topic: Topic, since: int, now_ms: float
    ) -> SendToPeer:
        view = self.views[topic]
        is_whole, records = view.list_since(since)
        self._pushed[(name, topic)] = (view.end, now_ms)
        age_ms = _compute_age(view.confirmed_ms, now_ms)
        message = ViewRecords(topic, since, view.end, is_whole, tuple(records), age_ms)
        return SendToPeer(name, message)

    def _send_status(self, now_ms: float) -> Iterator[RelayAction]:
        self._is_status_due = False
        self._status_ms = now_ms
        self.roster.is_ready = self.is_ready()
        status = NodeStatus(
            is_ready=self.is_ready(),
            views=tuple(
                ViewStatus(topic, view.end, _compute_age(view.confirmed_ms, now_ms))
                for topic, view in self.views.items()
            ),
            uses=self.flow.uses.list_own(),
            news=tuple(self._list_news(now_ms)),
            parts=self.flow.take_read_parts(now_ms),
            store_trouble_age_ms=self._find_own_trouble(now_ms),
        )
        for name in self._linked:
            yield SendToPeer(name, status)

    def _find_own_trouble(self, now_ms: float) -> float:
        age_ms = now_ms - self._trouble_ms
        return age_ms if age_ms < STORE_TROUBLE_MS else -1.0

    def _list_news(self, now_ms: float) -> Iterator[ReplicaNews]:
        for name, changed_ms in list(self._changed_ms.items()):
            known = self.directory.find(name)
            is_changing = name in self._told_changing
            if known is None or (
                not is_changing and now_ms - changed_ms > NEWS_KEPT_MS
            ):
                del self._changed_ms[name]
                continue
            left_ms = max(known.loading_until_ms - now_ms, 0.0)
            yield ReplicaNews(name, left_ms, tuple(known.weights.items()))


def _compute_age(confirmed_ms: float, now_ms: float) -> float:
    return -1.0 if confirmed_ms == float("-inf") else now_ms - confirmed_ms
