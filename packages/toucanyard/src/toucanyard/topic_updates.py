"""Apply records of topics from the store and from peers, and forward them.

Records that a node reads or receives update its views; each change is applied to the
node's state, and new records are sent to the peers that lack them.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from toucanyard.keyed_view import Topic
from toucanyard.known_facts import KnownFacts
from toucanyard.link_messages import ViewRecords, ViewStatus
from toucanyard.names import NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_events import LogEntry, RelayAction, StoreFailed, TopicRead
from toucanyard.replicas import ReplicaDirectory
from toucanyard.status_exchange import StatusExchange
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
        "_exchange",
        "_facts",
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
    ) -> None:
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
        view = self._exchange.views[read.topic]
        before, listed_ms = view.end, view.confirmed_ms
        if read.topic is Topic.REPLICAS and not self._node_directory.is_full_mesh():
            # All nodes depend on the reader to confirm that the list is unchanged.
            self._statuses.mark_due()
        changes = self._exchange.apply_read(
            read.topic,
            read.records,
            read.end,
            read.asked_ms,
            is_whole=read.is_whole,
            now_ms=now_ms,
        )
        yield from self._update_availability()
        if read.topic is Topic.OPERATOR:
            yield _build_read_entry(read, before, now_ms)
        yield from self._facts.apply(
            changes,
            "store",
            now_ms,
            listed_ms=listed_ms,
            known_for_ms=self._assumed_age_ms if read.is_whole else 0.0,
        )
        if changes or view.end > before:
            targets = self._statuses.find_targets(read.topic, is_polled=read.is_polled)
            yield from self._exchange.push(targets, read.topic, before, now_ms)

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
        view = self._exchange.views[message.topic]
        before, listed_ms = view.end, view.confirmed_ms
        changes = self._exchange.apply_records(message, now_ms)
        yield from self._update_availability()
        if message.topic is Topic.OPERATOR and message.end > before:
            yield _build_records_entry(sender, message, before, view.end)
        yield from self._facts.apply(changes, sender, now_ms, listed_ms=listed_ms)
        if view.end > before:
            targets = self._statuses.find_targets(message.topic, sender)
            yield from self._exchange.push(targets, message.topic, before, now_ms)

    def handle_status(
        self, sender: NodeName, views: Sequence[ViewStatus], now_ms: float
    ) -> Iterator[RelayAction]:
        """Record how far a peer has read each topic, and send it what it lacks."""
        hold_ms = 0.0 if self._node_directory.is_full_mesh() else POLLED_DELAY_MS
        yield from self._exchange.handle_status(sender, views, now_ms, hold_ms=hold_ms)
        yield from self._update_availability()

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


def _build_read_entry(read: TopicRead, before: int, now_ms: float) -> LogEntry:
    fields = {
        "source": "store",
        "records": len(read.records),
        "end": read.end,
        "end_before": before,
        "era": read.era,
        "after_ms": round(now_ms - read.asked_ms),
    }
    return LogEntry("operators_records_read", fields)


def _build_records_entry(
    sender: NodeName, message: ViewRecords, before: int, end: int
) -> LogEntry:
    fields = {
        "source": sender,
        "records": len(message.records),
        "since": message.since,
        "end": end,
        "end_before": before,
        "age_ms": None if message.answer is None else round(message.answer.age_ms),
    }
    return LogEntry("operators_records_read", fields)
