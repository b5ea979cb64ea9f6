"""Take in what the store and peers say of its topics, and pass it on.

What a node reads or is sent changes its views; each change is applied to what the node
knows, and peers that lack the new records are sent them.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from toucanyard.keyed_view import Topic
from toucanyard.known_facts import KnownFacts
from toucanyard.link_messages import ViewRecords, ViewStatus
from toucanyard.names import NodeName
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_events import Note, RelayAction, TopicRead
from toucanyard.replicas import ReplicaDirectory
from toucanyard.status_exchange import StatusExchange
from toucanyard.view_exchange import ViewExchange

POLLED_HOLD_MS: Final = 250.0
"""How long peers in a large fleet are left to read what operators wrote: all of them
poll for it, and sent by each to each a large configuration fills slow links."""


class TopicIntake:
    """How records reach this node's views and what it knows.

    Invariant: replicas that left the list count by what all nodes have read of the
    store, as it is known after each event.
    """

    __slots__ = (
        "_directory",
        "_exchange",
        "_facts",
        "_known_ms",
        "_roster",
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
        self._roster = node_directory
        self._statuses = statuses
        self._known_ms = weights_deadline_ms / 2
        """For how long wanted weights count as named that stood in the store before
        this node looked."""

    def take_read(self, read: TopicRead, now_ms: float) -> Iterator[RelayAction]:
        """Take in what the store gave."""
        view = self._exchange.views[read.topic]
        before, listed_ms = view.end, view.confirmed_ms
        if read.topic is Topic.REPLICAS and not self._roster.is_full_mesh():
            # All nodes rely on the reader's word that the list is as it was.
            self._statuses.mark_due()
        changes = self._exchange.apply_read(
            read.topic,
            read.records,
            read.end,
            read.asked_ms,
            is_whole=read.is_whole,
            now_ms=now_ms,
        )
        yield from self._note_contact()
        if read.topic is Topic.OPERATOR:
            yield _note_read(read, before, now_ms)
        yield from self._facts.apply(
            changes,
            "store",
            now_ms,
            listed_ms=listed_ms,
            known_for_ms=self._known_ms if read.is_whole else 0.0,
        )
        if changes or view.end > before:
            targets = self._statuses.find_targets(read.topic, is_polled=read.is_polled)
            yield from self._exchange.push(targets, read.topic, before, now_ms)

    def take_records(
        self, sender: NodeName, message: ViewRecords, now_ms: float
    ) -> Iterator[RelayAction]:
        """Take in what a peer sent."""
        view = self._exchange.views[message.topic]
        before, listed_ms = view.end, view.confirmed_ms
        changes = self._exchange.apply_records(message, now_ms)
        yield from self._note_contact()
        if message.topic is Topic.OPERATOR and message.end > before:
            yield _note_records(sender, message, before, view.end)
        yield from self._facts.apply(changes, sender, now_ms, listed_ms=listed_ms)
        if view.end > before:
            targets = self._statuses.find_targets(message.topic, sender)
            yield from self._exchange.push(targets, message.topic, before, now_ms)

    def answer_status(
        self, sender: NodeName, views: Sequence[ViewStatus], now_ms: float
    ) -> Iterator[RelayAction]:
        """Take in how far a peer knows each topic, and send it what it lacks."""
        hold_ms = 0.0 if self._roster.is_full_mesh() else POLLED_HOLD_MS
        yield from self._exchange.answer_status(sender, views, now_ms, hold_ms=hold_ms)
        yield from self._note_contact()

    def _note_contact(self) -> Iterator[RelayAction]:
        """Let replicas that left the list count by what is known of the store now."""
        absence = self._exchange.views[Topic.REPLICAS].contact.find_absence()
        if not self._directory.record_absence(absence):
            return
        if absence is None:
            yield Note("store_was_there", {})
        else:
            away_ms = round(absence.returned_ms - absence.before_ms)
            yield Note("store_returned", {"away_ms": away_ms})


def _note_read(read: TopicRead, before: int, now_ms: float) -> Note:
    fields = {
        "source": "store",
        "records": len(read.records),
        "end": read.end,
        "end_before": before,
        "after_ms": round(now_ms - read.asked_ms),
    }
    return Note("operators_records_read", fields)


def _note_records(
    sender: NodeName, message: ViewRecords, before: int, end: int
) -> Note:
    fields = {
        "source": sender,
        "records": len(message.records),
        "since": message.since,
        "end": end,
        "end_before": before,
        "age_ms": None if message.answer is None else round(message.answer.age_ms),
    }
    return Note("operators_records_read", fields)
