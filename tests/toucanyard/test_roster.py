from __future__ import annotations

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
