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
from toucanyard.log_position import START, LogPosition
from toucanyard.names import NodeName
from toucanyard.record_revisions import find_revision, is_configuration
from toucanyard.relay_events import SendToPeer
from toucanyard.seen_updates import new_update_id
from toucanyard.store_availability import AnsweredRead
from toucanyard.store_schedule import RESTORE_SPREAD_MS, compute_outage_threshold

MAX_ARRIVALS: Final = 64
"""Arrivals kept for each topic: all within the time for which records are held back."""
RESEND_MS: Final = 700.0
"""Time after which records are sent again to a peer whose status lacks them."""
RESTORE_HOLD_MS: Final = 300.0
"""Time in which the node that read a restored topic sends it to all others; without
it, every node would send every other one the whole topic."""
HUB_RESTORE_HOLD_MS: Final = RESTORE_SPREAD_MS + 500.0
"""The same in a fleet that is not a full mesh, where all nodes read it themselves.
Operators' records are due sooner and polled by all nodes, so they don't wait for it."""


class ViewExchange:
    """The views of one node, and how much of them was sent to its peers."""

    __slots__ = (
        "_arrivals",
        "_is_full_mesh",
        "_rng",
        "_restored_ms",
        "_sent_ends",
        "_unconfirmed_sent_ms",
        "linked",
        "views",
    )

    def __init__(
        self, decode: Decode, is_full_mesh: Callable[[], bool], rng: random.Random
    ) -> None:
        self._is_full_mesh = is_full_mesh
        self._rng = rng
        self.views = {topic: _build_view(topic, decode) for topic in Topic}
        self.linked: tuple[NodeName, ...] = ()
        self._arrivals = {
            topic: deque[tuple[LogPosition, float]](maxlen=MAX_ARRIVALS)
            for topic in Topic
        }
        """End before, and time, of the last arrivals of records of each topic."""
        self._restored_ms = dict.fromkeys(Topic, float("-inf"))
        """When the first records of the current era arrived."""
        self._sent_ends: dict[tuple[NodeName, Topic], tuple[LogPosition, float]] = {}
        self._unconfirmed_sent_ms: dict[tuple[NodeName, Topic], float] = {}
        """When unconfirmed records were last sent to a peer."""

    def apply_read(
        self,
        topic: Topic,
        records: Sequence[KeyedRecord],
        end: LogPosition,
        asked_ms: float,
        *,
        is_whole: bool,
        now_ms: float,
    ) -> list[Change]:
        """Apply the answer of the store to a read sent at `asked_ms`."""
        view = self.views[topic]
        self._record_arrival(view, end, now_ms)
        changes = view.apply(records, end, is_whole=is_whole)
        answered = AnsweredRead(new_update_id(self._rng), asked_ms, asked_ms)
        self._confirm(view, end, answered)
        return changes

    def apply_records(self, message: ViewRecords, now_ms: float) -> list[Change]:
        """Apply records that a peer sent, unless earlier records are missing."""
        view, end = self.views[message.topic], message.position
        since = LogPosition(message.era, message.since)
        if since > view.end and not message.is_whole:
            # This node's next status shows the peer what is missing.
            return []
        self._record_arrival(view, end, now_ms)
        changes = view.apply(message.records, end, is_whole=message.is_whole)
        if message.answer is not None:
            self._confirm(view, end, _to_answered_read(message.answer, now_ms))
        return changes

    def push(
        self, names: Iterable[NodeName], topic: Topic, since: LogPosition, now_ms: float
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
            view, end = self.views[status.topic], status.position
            if status.answer is not None:
                self._confirm(view, end, _to_answered_read(status.answer, now_ms))
            if end.era == view.end.era:
                yield from self._send_unconfirmed(
                    sender, view, status.unconfirmed, now_ms
                )
            arrived_ms = self._find_arrival(status.topic, end)
            if status.topic is Topic.OPERATOR and now_ms - arrived_ms < hold_ms:
                continue
            if end >= view.end or self._was_sent(sender, view, now_ms):
                continue
            if end.era < view.end.era and self._is_restore_held(status.topic, now_ms):
                continue
            yield self._build(sender, status.topic, end, now_ms)

    def list_statuses(self, now_ms: float) -> tuple[ViewStatus, ...]:
        """Return how far this node has read each topic."""
        return tuple(
            _build_status(topic, view, now_ms) for topic, view in self.views.items()
        )

    def _record_arrival(self, view: KeyedView, end: LogPosition, now_ms: float) -> None:
        if end > view.end:
            self._arrivals[view.topic].append((view.end, now_ms))
        if end.era > view.end.era:
            self._restored_ms[view.topic] = now_ms

    def _is_restore_held(self, topic: Topic, now_ms: float) -> bool:
        """Return whether peers still get a restored topic without this node."""
        is_near = self._is_full_mesh() or topic is Topic.OPERATOR
        hold_ms = RESTORE_HOLD_MS if is_near else HUB_RESTORE_HOLD_MS
        return now_ms - self._restored_ms[topic] < hold_ms

    def _send_unconfirmed(
        self, name: NodeName, view: KeyedView, digest: int, now_ms: float
    ) -> Iterator[SendToPeer]:
        """Send a peer what this node knows beyond a restored store, if it differs.

        At a limited rate, as the digest changes with each record that is written again.
        """
        if view.compute_unconfirmed_digest() in (0, digest):
            return
        key = (name, view.topic)
        if now_ms - self._unconfirmed_sent_ms.get(key, float("-inf")) < RESEND_MS:
            return
        self._unconfirmed_sent_ms[key] = now_ms
        end = view.end
        records = tuple(view.list_unconfirmed())
        yield SendToPeer(
            name,
            ViewRecords(
                view.topic, end.offset, end.offset, False, records, era=end.era
            ),
        )

    def _confirm(
        self, view: KeyedView, end: LogPosition, answered: AnsweredRead
    ) -> None:
        away_ms = compute_outage_threshold(
            view.topic, is_full_mesh=self._is_full_mesh()
        )
        view.confirm(end, answered, away_ms)

    def _find_arrival(self, topic: Topic, since: LogPosition) -> float:
        """Return when this node received the first record from a position on."""
        arrived_ms = float("-inf")
        for end_before, at_ms in self._arrivals[topic]:
            if end_before > since:
                break
            arrived_ms = at_ms
        return arrived_ms

    def _was_sent(self, name: NodeName, view: KeyedView, now_ms: float) -> bool:
        end, sent_ms = self._sent_ends.get((name, view.topic), (START, float("-inf")))
        return end >= view.end and now_ms - sent_ms < RESEND_MS

    def _build(
        self, name: NodeName, topic: Topic, since: LogPosition, now_ms: float
    ) -> SendToPeer:
        view = self.views[topic]
        is_whole, records = view.list_since(since)
        end = view.end
        self._sent_ends[(name, topic)] = (end, now_ms)
        answer = _build_read_update(view, now_ms)
        since_offset = since.offset if since.era == end.era else 0
        return SendToPeer(
            name,
            ViewRecords(
                topic,
                since_offset,
                end.offset,
                is_whole,
                tuple(records),
                answer,
                end.era,
            ),
        )


def _build_view(topic: Topic, decode: Decode) -> KeyedView:
    is_needed = is_configuration if topic is Topic.OPERATOR else None
    return KeyedView(topic, decode, find_revision, is_needed)


def _build_status(topic: Topic, view: KeyedView, now_ms: float) -> ViewStatus:
    end = view.find_reported_end()
    return ViewStatus(
        topic,
        end.offset,
        _build_read_update(view, now_ms),
        end.era,
        view.compute_unconfirmed_digest(),
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
