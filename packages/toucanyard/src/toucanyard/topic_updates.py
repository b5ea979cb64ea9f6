"""Apply records of topics from the store and from peers, and forward them.

Records that a node reads or receives update its views; each change is applied to the
node's state, and new records are sent to the peers that lack them.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from toucanyard.first_configuration import FirstConfiguration, HeldChanges
from toucanyard.keyed_view import KeyedView, Topic
from toucanyard.known_facts import KnownFacts
from toucanyard.link_messages import ViewRecords, ViewStatus
from toucanyard.log_position import START, LogPosition
from toucanyard.names import NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_events import LogEntry, RelayAction, StoreFailed, TopicRead
from toucanyard.replicas import ReplicaDirectory
from toucanyard.status_exchange import StatusExchange
from toucanyard.store_era import StoreEra
from toucanyard.view_exchange import ViewExchange

POLLED_DELAY_MS: Final = 250.0
"""Time in which peers in a large fleet can read operators' records themselves. All of
them poll for these, and a large configuration sent on every link fills slow ones."""


class TopicUpdates:
    """Updates of this node's views and state by records.

    Invariant: after each event, the directory evaluates replicas that left the list by
    the store's availability as known from the reads of all nodes.
    """

    __slots__ = (
        "_directory",
        "_era",
        "_exchange",
        "_facts",
        "_first_configuration",
        "_assumed_age_ms",
        "_node_directory",
        "_statuses",
    )

    def __init__(
        self,
        exchange: ViewExchange,
        facts: KnownFacts,
        directory: ReplicaDirectory,
        node_directory: NodeDirectory,
        statuses: StatusExchange,
        weights_deadline_ms: float,
        era: StoreEra,
    ) -> None:
        self._era = era
        self._first_configuration = FirstConfiguration()
        self._exchange = exchange
        self._facts = facts
        self._directory = directory
        self._node_directory = node_directory
        self._statuses = statuses
        self._assumed_age_ms = weights_deadline_ms / 2
        """Assumed age of wanted weights that were in the store before this node's
        first read."""

    def handle_read(self, read: TopicRead, now_ms: float) -> Iterator[RelayAction]:
        """Apply a read of the store."""
        yield from self._era.record(read.era, "store", now_ms)
        view = self._exchange.views[read.topic]
        before, listed_ms = view.end, view.confirmed_ms
        if read.era < before.era:
            fields: dict[str, object] = {
                "topic": read.topic.value,
                "era": read.era,
                "known": before.era,
            }
            yield LogEntry("store_answer_outdated", fields)
            return
        self._record_restore(view, read.position, is_whole=read.is_whole)
        if read.topic is Topic.REPLICAS and not self._node_directory.is_full_mesh():
            # All nodes depend on the reader to confirm that the list is unchanged.
            self._statuses.mark_due()
        changes = self._exchange.apply_read(
            read.topic,
            read.records,
            read.position,
            read.asked_ms,
            is_whole=read.is_whole,
            now_ms=now_ms,
        )
        yield from self._finish_restore(view, before, "store", now_ms)
        yield from self._update_availability()
        if read.topic is Topic.OPERATOR:
            yield _build_read_entry(read, before, now_ms)
        known_for_ms = self._assumed_age_ms if read.is_whole else 0.0
        if read.topic is Topic.OPERATOR and before == START and read.era > 0:
            self._first_configuration.hold(changes, known_for_ms, now_ms)
        else:
            yield from self._facts.apply(
                changes,
                "store",
                now_ms,
                listed_ms=listed_ms,
                known_for_ms=known_for_ms,
            )
        is_restored = view.end.era > before.era
        if is_restored and not self._node_directory.is_full_mesh():
            # All nodes read it themselves; the hub sends it to those that cannot.
            return
        if changes or view.end > before:
            targets = self._statuses.find_targets(read.topic, is_polled=read.is_polled)
            yield from self._exchange.push(targets, read.topic, before, now_ms)

    def tick(self, now_ms: float) -> Iterator[RelayAction]:
        """Apply the first configuration if no peer has been heard in time."""
        held = self._first_configuration.take_due(now_ms)
        yield from self._apply_held(held, now_ms)

    def _apply_held(
        self, held: HeldChanges | None, now_ms: float
    ) -> Iterator[RelayAction]:
        if held is None:
            return
        yield from self._facts.apply(
            held.changes,
            "store",
            now_ms,
            listed_ms=self._exchange.views[Topic.OPERATOR].confirmed_ms,
            known_for_ms=held.known_for_ms,
        )

    def describe_failure(self, failed: StoreFailed, now_ms: float) -> LogEntry:
        """Return the log entry of a call to the store that failed."""
        fields = {
            "purpose": failed.purpose,
            "reason": failed.reason,
            "after_ms": round(now_ms - failed.asked_ms),
        }
        return LogEntry("store_failed", fields)

    def handle_records(
        self, sender: NodeName, message: ViewRecords, now_ms: float
    ) -> Iterator[RelayAction]:
        """Apply records that a peer sent."""
        yield from self._era.record(message.era, sender, now_ms)
        view = self._exchange.views[message.topic]
        before, listed_ms = view.end, view.confirmed_ms
        self._record_restore(view, message.position, is_whole=message.is_whole)
        changes = self._exchange.apply_records(message, now_ms)
        yield from self._finish_restore(view, before, sender, now_ms)
        yield from self._update_availability()
        if message.topic is Topic.OPERATOR and message.position > before:
            yield _build_records_entry(sender, message, before, view.end)
        yield from self._facts.apply(changes, sender, now_ms, listed_ms=listed_ms)
        if message.topic is Topic.OPERATOR:
            # Whatever is older than what the peer has sent has no effect now.
            yield from self._apply_held(self._first_configuration.take(), now_ms)
        if view.end > before:
            targets = self._statuses.find_targets(message.topic, sender)
            yield from self._exchange.push(targets, message.topic, before, now_ms)

    def handle_status(
        self, sender: NodeName, views: Sequence[ViewStatus], now_ms: float
    ) -> Iterator[RelayAction]:
        """Record how far a peer has read each topic, and send it what it lacks."""
        for each in views:
            yield from self._era.record(each.era, sender, now_ms)
        hold_ms = 0.0 if self._node_directory.is_full_mesh() else POLLED_DELAY_MS
        yield from self._exchange.handle_status(sender, views, now_ms, hold_ms=hold_ms)
        yield from self._update_availability()
        if self._first_configuration.is_held() and self._is_confirmed_by(views):
            yield from self._apply_held(self._first_configuration.take(), now_ms)

    def _is_confirmed_by(self, views: Sequence[ViewStatus]) -> bool:
        """Return whether a peer knows nothing beyond this node's configuration."""
        view = self._exchange.views[Topic.OPERATOR]
        return any(
            each.topic is Topic.OPERATOR
            and each.era == view.end.era
            and each.unconfirmed in (0, view.compute_unconfirmed_digest())
            for each in views
        )

    def _record_restore(
        self, view: KeyedView, end: LogPosition, *, is_whole: bool
    ) -> None:
        """Record an outage of the store before the records of a copy are applied."""
        if is_whole and end.era > view.end.era and view.end != START:
            view.availability.record_restore(self._era.since_ms)

    def _finish_restore(
        self, view: KeyedView, before: LogPosition, source: str, now_ms: float
    ) -> Iterator[RelayAction]:
        """Log that a view now shows a restored store, and find what the store lost."""
        if view.end.era == before.era or before == START:
            return
        fields: dict[str, object] = {
            "topic": view.topic.value,
            "era": view.end.era,
            "before": before.era,
            "end": view.end.offset,
            "end_before": before.offset,
            "unconfirmed": view.count_unconfirmed(),
            "source": source,
            "after_ms": round(now_ms - self._era.since_ms),
        }
        yield LogEntry("view_restored", fields)
        if view.topic is Topic.NODES:
            self._facts.apply_restored_nodes(view, now_ms)

    def _update_availability(self) -> Iterator[RelayAction]:
        """Pass the store's availability to the directory, for replicas off the list."""
        outage = self._exchange.views[Topic.REPLICAS].availability.find_outage()
        if not self._directory.record_absence(outage):
            return
        if outage is None:
            yield LogEntry("store_was_there", {})
        else:
            away_ms = round(outage.returned_ms - outage.before_ms)
            yield LogEntry("store_returned", {"away_ms": away_ms})


def _build_read_entry(read: TopicRead, before: LogPosition, now_ms: float) -> LogEntry:
    fields = {
        "source": "store",
        "records": len(read.records),
        "end": read.end,
        "end_before": before.offset,
        "era": read.era,
        "after_ms": round(now_ms - read.asked_ms),
    }
    return LogEntry("operators_records_read", fields)


def _build_records_entry(
    sender: NodeName, message: ViewRecords, before: LogPosition, end: LogPosition
) -> LogEntry:
    fields = {
        "source": sender,
        "records": len(message.records),
        "since": message.since,
        "end": end.offset,
        "end_before": before.offset,
        "era": end.era,
        "age_ms": None if message.answer is None else round(message.answer.age_ms),
    }
    return LogEntry("operators_records_read", fields)
