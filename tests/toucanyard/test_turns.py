from __future__ import annotations

import random

from hypothesis import given, settings, strategies as st

from toucanyard.names import Incarnation, NodeId, NodeName
from toucanyard.relay_events import AppendTurn, ReadTurns, TurnAppended, TurnRead
from toucanyard.turns import ACT_MS, ASK_AGAIN_MS, Turns

LEASE_MS = 3_000.0


def build_turns(name: str) -> Turns:
    return Turns(NodeId(NodeName(name), Incarnation("i")), LEASE_MS)


class Log:
    """The store's topic: conditional appends, answers that may be lost."""

    def __init__(self) -> None:
        self.records: list[bytes] = []

    def append(self, asked: AppendTurn) -> int | None:
        if asked.at != len(self.records):
            return None
        self.records.append(asked.value)
        return len(self.records) - 1


def serve(
    turns: Turns, log: Log, asked: AppendTurn | ReadTurns | None, now_ms: float
) -> None:
    match asked:
        case ReadTurns(from_offset=begin):
            numbered = tuple(enumerate(log.records))[begin:]
            turns.note_read(TurnRead(numbered, len(log.records)), now_ms)
        case AppendTurn():
            offset = log.append(asked)
            turns.note_appended(TurnAppended(offset, now_ms))


def take(turns: Turns, log: Log, now_ms: float, since_ms: float = 0.0) -> None:
    """Let a node read and append until it has what it may have."""
    for _ in range(3):
        serve(turns, log, turns.tick(since_ms, 0, False, now_ms), now_ms)


def test_first_node_takes_the_turn_at_once_and_keeps_its_fence() -> None:
    turns, log = build_turns("a"), Log()
    take(turns, log, 0.0)
    first = turns.find_turn(1.0)
    assert first is not None
    take(turns, log, 600.0)
    second = turns.find_turn(ACT_MS + 1)
    assert second is not None
    assert (first.fence, second.fence) == (0, 0)
    assert len(log.records) == 2


def test_next_holder_waits_out_the_one_before() -> None:
    """The holder is cut off in mid-work; another node sees its last record.

    Two nodes that order within the lease would undo each other's work at a replica.
    """
    log = Log()
    take(build_turns("a"), log, 0.0)
    other = build_turns("b")
    take(other, log, 100.0)
    assert other.find_turn(100.0) is None
    early_ms = 100.0 + ACT_MS + LEASE_MS
    take(other, log, early_ms)
    assert other.find_turn(early_ms) is None
    late_ms = early_ms + ASK_AGAIN_MS
    take(other, log, late_ms)
    turn = other.find_turn(late_ms)
    assert turn is not None
    assert turn.fence == 1


def test_paused_holder_does_not_act_when_it_wakes() -> None:
    turns, log = build_turns("a"), Log()
    take(turns, log, 0.0)
    assert turns.find_turn(ACT_MS - 1) is not None
    assert turns.find_turn(ACT_MS) is None


def test_append_without_an_answer_gives_no_turn_until_it_is_read() -> None:
    """The store appends and its answer is lost; or it appends seconds later.

    Taken as failed, a second claim would stand beside the first with another fence.
    """
    turns, log = build_turns("a"), Log()
    asked = turns.tick(0.0, 0, False, 0.0)
    serve(turns, log, asked, 0.0)
    asked = turns.tick(0.0, 0, False, 0.0)
    assert isinstance(asked, AppendTurn)
    log.append(asked)
    turns.note_appended(TurnAppended(None, 0.0))
    assert turns.find_turn(1.0) is None
    assert isinstance(turns.tick(0.0, 0, False, 10.0), ReadTurns)


def test_last_holder_that_is_alive_goes_first() -> None:
    log = Log()
    take(build_turns("a"), log, 0.0)
    other = build_turns("b")
    take(other, log, 0.0)
    late_ms = 10_000.0
    asked = other.tick(late_ms - 100, 0, True, late_ms)
    assert isinstance(asked, ReadTurns)
    serve(other, log, asked, late_ms)
    assert isinstance(other.tick(late_ms - 800, 0, True, late_ms), AppendTurn)


def test_who_stands_by_follows_the_turn_and_takes_it_in_time() -> None:
    """The holder renews its turn many times and is then killed in mid-work.

    Who read only once would find its claim refused, and wait the whole lease again.
    """
    log = Log()
    holder, other = build_turns("a"), build_turns("b")
    now_ms = 0.0
    while now_ms < 10_000.0:
        now_ms += 25.0
        serve(other, log, other.tick(0.0, 1, True, now_ms), now_ms)
        if now_ms <= 4_000.0:
            serve(holder, log, holder.tick(0.0, 0, False, now_ms), now_ms)
        if other.find_turn(now_ms) is not None:
            break
    assert 4_000 + LEASE_MS < now_ms <= 4_000 + LEASE_MS + ACT_MS + 1_000


def test_leaving_node_ends_its_turn_and_takes_no_other() -> None:
    """All VMs are stopped in turn while new weights are loaded.

    Each holder that stopped ordering at once cost the next one the whole lease.
    """
    turns, log = build_turns("a"), Log()
    take(turns, log, 0.0)
    asked = turns.tick(0.0, 0, False, 600.0, is_leaving=True)
    assert isinstance(asked, AppendTurn)
    other = build_turns("b")
    serve(other, log, other.tick(0.0, 0, False, 0.0, is_leaving=True), 0.0)
    assert other.tick(0.0, 0, False, 60_000.0, is_leaving=True) is None


def test_lost_question_is_asked_again() -> None:
    turns = build_turns("a")
    assert isinstance(turns.tick(0.0, 0, False, 0.0), ReadTurns)
    assert turns.tick(0.0, 0, False, ASK_AGAIN_MS - 1) is None
    assert isinstance(turns.tick(0.0, 0, False, ASK_AGAIN_MS), ReadTurns)


def test_unreadable_record_is_passed_over() -> None:
    turns = build_turns("a")
    turns.note_read(TurnRead(((0, b"\xff"),), 1), 0.0)
    asked = turns.tick(0.0, 0, False, 1.0)
    assert isinstance(asked, AppendTurn)
    assert asked.at == 1


class Fleet:
    """Three nodes with work to do, whose pauses and answers chance decides."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.nodes = {name: build_turns(name) for name in "abc"}
        self.paused_until = dict.fromkeys(self.nodes, 0.0)
        self.log = Log()
        self.late: list[tuple[float, AppendTurn]] = []
        self.acted: list[tuple[float, str, int]] = []

    def append_late(self, now_ms: float) -> None:
        for due in [each for each in self.late if each[0] <= now_ms]:
            self.late.remove(due)
            self.log.append(due[1])

    def is_paused(self, name: str, share: float, now_ms: float) -> bool:
        if now_ms < self.paused_until[name]:
            return True
        if self.rng.random() < share / 40:
            self.paused_until[name] = now_ms + self.rng.uniform(100, 8_000)
            return True
        return False

    def step(
        self, name: str, rank: int, lost_share: float, late_share: float, now_ms: float
    ) -> None:
        turns = self.nodes[name]
        asked = turns.tick(0.0, rank, False, now_ms)
        is_lost = self.rng.random() < lost_share
        if isinstance(asked, AppendTurn) and self.rng.random() < late_share:
            self.late.append((now_ms + self.rng.uniform(100, 6_000), asked))
            turns.note_appended(TurnAppended(None, now_ms))
        elif isinstance(asked, AppendTurn) and is_lost:
            self.log.append(asked)
            turns.note_appended(TurnAppended(None, now_ms))
        elif asked is not None and not is_lost:
            serve(turns, self.log, asked, now_ms)
        turn = turns.find_turn(now_ms)
        if turn is not None:
            self.acted.append((now_ms, name, turn.fence))


@settings(max_examples=200)
@given(
    st.integers(0, 2**32),
    st.floats(0.0, 0.4),
    st.floats(0.0, 0.4),
    st.floats(0.0, 0.3),
)
def test_two_holders_never_act_within_the_lease(
    seed: int, lost_share: float, pause_share: float, late_share: float
) -> None:
    """Three nodes with work to do, pauses, lost answers and late appends, for a minute.

    Whenever two nodes order within the lease, one undoes what the other began.
    """
    fleet = Fleet(random.Random(seed))
    for step in range(2_400):
        now_ms = step * 25.0
        fleet.append_late(now_ms)
        for rank, name in enumerate(fleet.nodes):
            if not fleet.is_paused(name, pause_share, now_ms):
                fleet.step(name, rank, lost_share, late_share, now_ms)
    for before, after in zip(fleet.acted, fleet.acted[1:], strict=False):
        if before[1] != after[1]:
            assert after[0] - before[0] >= LEASE_MS
            assert after[2] > before[2]
