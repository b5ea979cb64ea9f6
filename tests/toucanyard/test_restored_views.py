from __future__ import annotations

import operator
import random
from typing import Final

from toucanyard.keyed_view import Change, KeyedRecord, KeyedView, Topic
from toucanyard.log_position import LogPosition
from toucanyard.record_revisions import find_revision
from toucanyard.routes import RouteTable
from toucanyard.store_availability import AnsweredRead

CONFIG: Final = "config"
STEPS: Final = 300
SEEDS: Final = 150
Read = tuple[list[KeyedRecord], LogPosition, bool]
"""Records, the end of the topic, and whether all records are included."""


def decode(topic: Topic, key: str, value: bytes) -> object:
    if topic is Topic.OPERATOR:
        return RouteTable(version=int(value))
    return (key, value)


def build_view(topic: Topic) -> KeyedView:
    return KeyedView(topic, decode, find_revision)


class RestorableTopic:
    """One topic of the store, which can go back to a copy."""

    def __init__(self) -> None:
        self.records: list[KeyedRecord] = []
        self.era = 0
        self._copy: list[KeyedRecord] = []

    @property
    def end(self) -> LogPosition:
        return LogPosition(self.era, len(self.records))

    def write(self, key: str, value: bytes | None) -> None:
        self.records.append(KeyedRecord(key, len(self.records), value))

    def take_copy(self) -> None:
        self._copy = list(self.records)

    def restore(self) -> list[KeyedRecord]:
        """Return to the copy; return the newest lost record of each key."""
        lost = {each.key: each for each in self.records[len(self._copy) :]}
        self.records = list(self._copy)
        self.era += 1
        return list(lost.values())

    def read(self, view: KeyedView) -> Read:
        """Return what a node reads that has this view."""
        is_whole = view.end.era != self.era or not view.end.offset
        records = self.records[0 if is_whole else view.end.offset :]
        if is_whole:
            newest = {each.key: each for each in records}
            records = [each for each in newest.values() if each.value is not None]
        stated = [
            KeyedRecord(each.key, each.offset, each.value, self.era) for each in records
        ]
        return stated, self.end, is_whole

    def list_facts(self, topic: Topic) -> dict[str, object]:
        newest = {each.key: each.value for each in self.records}
        return {
            key: decode(topic, key, value)
            for key, value in newest.items()
            if value is not None
        }


def apply_read(view: KeyedView, topic: RestorableTopic) -> list[Change]:
    records, end, is_whole = topic.read(view)
    return view.apply(records, end, is_whole=is_whole)


def send(sender: KeyedView, receiver: KeyedView) -> None:
    """Let a node send a peer what the peer lacks, as the exchange does."""
    if receiver.end < sender.end:
        is_whole, records = sender.list_since(receiver.end)
        receiver.apply(records, sender.end, is_whole=is_whole)
    elif receiver.end == sender.end:
        receiver.apply(sender.list_unconfirmed(), sender.end, is_whole=False)


def find_version(view: KeyedView) -> int:
    return max((find_revision(each) or 0 for each in view.list_facts()), default=0)


def list_state(view: KeyedView) -> dict[str, object]:
    return {fact[0]: fact for fact in view.list_facts()}  # type: ignore[index]


def test_records_below_the_old_end_are_applied_after_a_restore() -> None:
    """Guards against comparing offsets of two copies of the store."""
    topic, view = RestorableTopic(), build_view(Topic.OPERATOR)
    topic.write(CONFIG, b"1")
    topic.take_copy()
    topic.write(CONFIG, b"2")
    topic.write(CONFIG, b"3")
    apply_read(view, topic)
    topic.restore()
    topic.write(CONFIG, b"4")
    assert [each.fact for each in apply_read(view, topic)] == [RouteTable(version=4)]
    assert view.end == LogPosition(1, 2)
    assert view.count_unconfirmed() == 0


def test_late_answer_of_the_copy_before_changes_nothing() -> None:
    """Guards against records and confirmations that were under way at the restore."""
    topic, view = RestorableTopic(), build_view(Topic.REPLICAS)
    topic.write("a", b"x")
    topic.take_copy()
    late = topic.read(view)
    topic.write("b", b"x")
    apply_read(view, topic)
    topic.restore()
    apply_read(view, topic)
    records, end, is_whole = late
    assert view.apply(records, LogPosition(end.era, 99), is_whole=is_whole) == []
    view.confirm(LogPosition(0, 1), AnsweredRead(1, 50.0, 50.0), 1_800.0)
    assert view.confirmed_ms == float("-inf")
    assert list_state(view) == {"a": ("a", b"x")}


def test_records_that_span_a_restore_are_not_applied_in_part() -> None:
    """Guards against reading on from an offset of the copy before."""
    view = build_view(Topic.OPERATOR)
    view.apply([KeyedRecord(CONFIG, 0, b"1")], LogPosition(0, 1), is_whole=True)
    newer = KeyedRecord(CONFIG, 7, b"9", era=1)
    assert view.apply([newer], LogPosition(1, 8), is_whole=False) == []
    assert view.end == LogPosition(0, 1)


def test_removed_replica_that_comes_back_with_the_copy_is_not_listed() -> None:
    """Guards against calls to a replica whose removal the store has lost."""
    topic, view = RestorableTopic(), build_view(Topic.REPLICAS)
    topic.write("a", b"x")
    topic.write("b", b"x")
    apply_read(view, topic)
    topic.take_copy()
    topic.write("a", None)
    apply_read(view, topic)
    topic.restore()
    started = build_view(Topic.REPLICAS)
    apply_read(started, topic)
    assert apply_read(view, topic) == []
    assert list_state(view) == {"b": ("b", b"x")}
    send(view, started)
    assert list_state(started) == {"b": ("b", b"x")}
    topic.write("a", b"x")
    for each in (view, started):
        changes = apply_read(each, topic)
        assert [change.fact for change in changes] == [("a", b"x")]
        assert each.count_unconfirmed() == 0


def test_node_records_stay_until_their_nodes_write_again() -> None:
    """Guards against dropping nodes that started shortly before the restore."""
    topic, view = RestorableTopic(), build_view(Topic.NODES)
    topic.take_copy()
    topic.write("n", b"x")
    apply_read(view, topic)
    topic.restore()
    apply_read(view, topic)
    assert list_state(view) == {"n": ("n", b"x")}
    assert view.find_stored("n") is None
    started = build_view(Topic.NODES)
    apply_read(started, topic)
    send(view, started)
    assert list_state(started) == {"n": ("n", b"x")}
    topic.write("n", b"x")
    apply_read(view, topic)
    assert view.find_stored("n") == ("n", b"x")
    assert view.count_unconfirmed() == 0


def test_missed_era_is_no_different() -> None:
    """Guards against a node that slept through one of two restores."""
    topic, view = RestorableTopic(), build_view(Topic.OPERATOR)
    topic.write(CONFIG, b"1")
    topic.take_copy()
    topic.write(CONFIG, b"2")
    apply_read(view, topic)
    topic.restore()
    topic.write(CONFIG, b"3")
    topic.restore()
    topic.write(CONFIG, b"4")
    apply_read(view, topic)
    assert find_version(view) == 4


class RestorePlay:
    """Three nodes that read one topic while it is written and restored."""

    def __init__(self, name: Topic, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._written = 0
        self._late: list[tuple[KeyedView, Read]] = []
        """Answers under way, and the view for which each was read."""
        self.topic = RestorableTopic()
        self.views = [build_view(name) for _ in range(3)]
        self.versions = [0] * len(self.views)

    def step(self) -> None:
        rng, topic = self._rng, self.topic
        number = rng.randrange(len(self.views))
        view = self.views[number]
        match rng.randrange(12):
            case 0 | 1 | 2:
                self._write()
            case 3:
                topic.take_copy()
            case 4:
                topic.restore()
            case 5:
                self._late.append((view, topic.read(view)))
            case 6 if self._late:
                receiver, read = self._late.pop(rng.randrange(len(self._late)))
                receiver.apply(read[0], read[1], is_whole=read[2])
            case 7 if rng.random() < 0.1:
                self.views[number] = build_view(self._name)
                self.versions[number] = 0
            case 8 | 9:
                send(view, rng.choice(self.views))
            case _:
                apply_read(view, topic)

    def write_all(self) -> None:
        """Write every key once more, as the replicas and nodes do."""
        self._written += 1
        if self._name is Topic.OPERATOR:
            self.topic.write(CONFIG, str(self._written).encode())
            return
        for key in "abcd":
            self.topic.write(key, b"z")

    def _write(self) -> None:
        self._written += 1
        if self._name is Topic.OPERATOR:
            self.topic.write(CONFIG, str(self._written).encode())
        else:
            value = self._rng.choice((b"x", b"y", None))
            self.topic.write(self._rng.choice("abcd"), value)


def test_drawn_restores_never_revert_and_end_with_what_is_written() -> None:
    """Guards against any order of reads, peers' records, restores and new nodes."""
    for seed in range(SEEDS):
        for name in Topic:
            play = RestorePlay(name, random.Random(f"{seed} {name}"))
            for _ in range(STEPS):
                play.step()
                found = [find_version(each) for each in play.views]
                is_reverted = any(map(operator.lt, found, play.versions))
                assert not (is_reverted and name is Topic.OPERATOR)
                play.versions = found
            for view in play.views:
                apply_read(view, play.topic)
            play.write_all()
            wanted = sorted(map(str, play.topic.list_facts(name).values()))
            for view in play.views:
                apply_read(view, play.topic)
                assert sorted(map(str, view.list_facts())) == wanted
                assert view.count_unconfirmed() == 0
