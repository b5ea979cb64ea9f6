"""Keep the views of all topics and send peers the records that they lack.

Records that one node reads from the store are sent to its peers at once. A lost message
is detected by the next status, which contains each node's offset in each topic.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from toucanyard.keyed_view import Change, Decode, KeyedRecord, KeyedView, Topic
from toucanyard.link_messages import StoreReadUpdate, ViewRecords, ViewStatus
from toucanyard.names import NodeName
from toucanyard.relay_events import SendToPeer
from toucanyard.seen_updates import new_update_id
from toucanyard.store_availability import AnsweredRead
from toucanyard.store_schedule import compute_outage_threshold

MAX_ARRIVALS: Final = 64
"""Arrivals kept for each topic: all within the time for which records are held back."""
RESEND_MS: Final = 700.0
"""Time after which records are sent again to a peer whose status lacks them."""


class ViewExchange:
    """The views of one node, and how much of them was sent to its peers."""

    __slots__ = (
        "_arrivals",
        "_is_full_mesh",
        "_rng",
        "_sent_ends",
        "linked",
        "views",
    )

    def __init__(
        self, decode: Decode, is_full_mesh: Callable[[], bool], rng: random.Random
    ) -> None:
        self._is_full_mesh = is_full_mesh
        self._rng = rng
        self.views = {topic: KeyedView(topic, decode) for topic in Topic}
        self.linked: tuple[NodeName, ...] = ()
        self._arrivals = {
            topic: deque[tuple[int, float]](maxlen=MAX_ARRIVALS) for topic in Topic
        }
        """End before, and time, of the last arrivals of records of each topic."""
        self._sent_ends: dict[tuple[NodeName, Topic], tuple[int, float]] = {}

    def apply_read(
        self,
        topic: Topic,
        records: Sequence[KeyedRecord],
        end: int,
        asked_ms: float,
        *,
        is_whole: bool,
        now_ms: float,
    ) -> list[Change]:
        """Apply the answer of the store to a read sent at `asked_ms`."""
        view = self.views[topic]
        if end > view.end:
            self._arrivals[topic].append((view.end, now_ms))
        changes = view.apply(records, end, is_whole=is_whole)
        answered = AnsweredRead(new_update_id(self._rng), asked_ms, asked_ms)
        self._confirm(view, end, answered)
        return changes

    def apply_records(self, message: ViewRecords, now_ms: float) -> list[Change]:
        """Apply records that a peer sent, unless earlier records are missing."""
        view = self.views[message.topic]
        if message.since > view.end and not message.is_whole:
            # This node's next status shows the peer what is missing.
            return []
        if message.end > view.end:
            self._arrivals[message.topic].append((view.end, now_ms))
        changes = view.apply(message.records, message.end, is_whole=message.is_whole)
        if message.answer is not None:
            self._confirm(view, message.end, _to_answered_read(message.answer, now_ms))
        return changes

    def push(
        self, names: Iterable[NodeName], topic: Topic, since: int, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Send new records to the given peers."""
        for name in names:
            yield self._build(name, topic, since, now_ms)

    def handle_status(
        self,
        sender: NodeName,
        statuses: Sequence[ViewStatus],
        now_ms: float,
        *,
        hold_ms: float = 0.0,
    ) -> Iterator[SendToPeer]:
        """Record how far a peer has read each topic, and send it what it lacks.

        `hold_ms` is the time in which a peer can read the operators' topic itself.
        """
        for status in statuses:
            view = self.views[status.topic]
            if status.answer is not None:
                self._confirm(
                    view, status.end, _to_answered_read(status.answer, now_ms)
                )
            arrived_ms = self._find_arrival(status.topic, status.end)
            if status.topic is Topic.OPERATOR and now_ms - arrived_ms < hold_ms:
                continue
            if status.end < view.end and not self._was_sent(sender, view, now_ms):
                yield self._build(sender, status.topic, status.end, now_ms)

    def list_statuses(self, now_ms: float) -> tuple[ViewStatus, ...]:
        """Return how far this node has read each topic."""
        return tuple(
            ViewStatus(
                topic, view.find_reported_end(), _build_read_update(view, now_ms)
            )
            for topic, view in self.views.items()
        )

    def _confirm(self, view: KeyedView, end: int, answered: AnsweredRead) -> None:
        away_ms = compute_outage_threshold(
            view.topic, is_full_mesh=self._is_full_mesh()
        )
        view.confirm(end, answered, away_ms)

    def _find_arrival(self, topic: Topic, offset: int) -> float:
        """Return when this node received the first record from an offset on."""
        arrived_ms = float("-inf")
        for end_before, at_ms in self._arrivals[topic]:
            if end_before > offset:
                break
            arrived_ms = at_ms
        return arrived_ms

    def _was_sent(self, name: NodeName, view: KeyedView, now_ms: float) -> bool:
        end, sent_ms = self._sent_ends.get((name, view.topic), (-1, float("-inf")))
        return end >= view.end and now_ms - sent_ms < RESEND_MS

    def _build(
        self, name: NodeName, topic: Topic, since: int, now_ms: float
    ) -> SendToPeer:
        view = self.views[topic]
        is_whole, records = view.list_since(since)
        self._sent_ends[(name, topic)] = (view.end, now_ms)
        answer = _build_read_update(view, now_ms)
        return SendToPeer(
            name, ViewRecords(topic, since, view.end, is_whole, tuple(records), answer)
        )


def _build_read_update(view: KeyedView, now_ms: float) -> StoreReadUpdate | None:
    answered = view.availability.find_last_read()
    if answered is None:
        return None
    steady_ms = answered.asked_ms - answered.since_ms
    return StoreReadUpdate(answered.read_id, now_ms - answered.asked_ms, steady_ms)


def _to_answered_read(answer: StoreReadUpdate, now_ms: float) -> AnsweredRead:
    asked_ms = now_ms - answer.age_ms
    return AnsweredRead(answer.read_id, asked_ms, asked_ms - answer.steady_ms)
