from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.link_messages import NodeNews
from toucanyard.names import Address, DomainName, Incarnation, NodeName
from toucanyard.node_records import NodeRecord
from toucanyard.roster import STATUS_KEPT_MS, TOLD_KEPT_MS, Roster

ONE, TWO, FAR = (NodeName(name) for name in ("hub-1", "hub-2", "far"))


def build_record(name: NodeName) -> NodeRecord:
    return NodeRecord(
        name,
        Incarnation("i"),
        DomainName("d"),
        Address(f"{name}:1"),
        Address(f"{name}:4"),
    )


def build_roster() -> Roster:
    roster = Roster(build_record(NodeName("own")), ())
    for name in (ONE, TWO, FAR):
        roster.apply(build_record(name))
    return roster


def test_node_that_one_hub_calls_stopping_is_not_named() -> None:
    """A node stops; one hub knows it, another one, or an old list, does not yet.

    Callers that are sent to it lose their calls, so the worse word counts, in either
    order.
    """
    for first, second in ((True, False), (False, True)):
        roster = build_roster()
        roster.note_told(ONE, (NodeNews(FAR, first),), 0.0)
        roster.note_told(TWO, (NodeNews(FAR, second),), 0.0)
        assert roster.find_alive(1.0) == [FAR]
        assert roster.find_addresses(1.0) == []


def test_what_a_node_says_of_itself_goes_before_what_hubs_say() -> None:
    roster = build_roster()
    roster.note_told(ONE, (NodeNews(FAR, True),), 0.0)
    assert roster.find_addresses(1.0) == ["far:1"]
    assert roster.note_status(FAR, False, 2.0)
    assert roster.find_addresses(3.0) == []


def test_what_was_told_grows_old() -> None:
    roster = build_roster()
    assert roster.note_told(ONE, (NodeNews(FAR, True),), 0.0)
    assert not roster.note_told(ONE, (NodeNews(FAR, True),), 10.0)
    assert roster.find_alive(10.0 + TOLD_KEPT_MS) == [FAR]
    assert roster.find_alive(11.0 + TOLD_KEPT_MS) == []
    roster.note_status(FAR, True, 0.0)
    assert roster.find_alive(STATUS_KEPT_MS + 1.0) == [FAR]
    assert roster.find_alive(12.0 + TOLD_KEPT_MS) == []


def test_node_is_not_told_of_itself() -> None:
    roster = build_roster()
    roster.note_told(ONE, (NodeNews(NodeName("own"), True),), 0.0)
    assert roster.find_alive(1.0) == []


NAMES = (ONE, TWO, FAR)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["status", "told", "remove", "links"]),
        st.sampled_from(NAMES),
        st.booleans(),
        st.sampled_from([0.0, 250.0, STATUS_KEPT_MS, TOLD_KEPT_MS + 1.0]),
    ),
    max_size=12,
)


def take_step(roster: Roster, step: tuple[str, NodeName, bool], now_ms: float) -> None:
    kind, name, is_ready = step
    match kind:
        case "status":
            roster.note_status(name, is_ready, now_ms)
        case "told":
            told = [NodeNews(name, is_ready)] + [NodeNews(FAR, True)] * is_ready
            roster.note_told(ONE, told, now_ms)
        case "remove":
            roster.remove(name)
        case "links":
            roster.retain_linked([name])


@given(STEPS)
def test_asking_often_changes_no_answer(
    steps: list[tuple[str, NodeName, bool, float]],
) -> None:
    """Who is alive is merged only when it may have changed.

    A node whose death or return were missed would be sent callers, or none, for good,
    and would go first in a matter that nobody then sees to. So a roster that is asked
    after each step answers like one that is asked once.
    """
    asked, unasked = build_roster(), build_roster()
    now_ms = 0.0
    for kind, name, is_ready, wait_ms in steps:
        now_ms += wait_ms
        for roster in (asked, unasked):
            take_step(roster, (kind, name, is_ready), now_ms)
        asked.find_rank("orders", now_ms)
        asked.find_addresses(now_ms)
    now_ms += 1.0
    assert asked.find_alive(now_ms) == unasked.find_alive(now_ms)
    assert asked.find_addresses(now_ms) == unasked.find_addresses(now_ms)
    assert asked.find_rank("orders", now_ms) == unasked.find_rank("orders", now_ms)
    assert asked.count_nodes(now_ms) == unasked.count_nodes(now_ms)
