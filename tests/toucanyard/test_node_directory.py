from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.link_messages import NodeUpdate
from toucanyard.names import Address, DomainName, Incarnation, NodeName
from toucanyard.node_directory import HUB_REPORT_TTL_MS, STATUS_TTL_MS, NodeDirectory
from toucanyard.node_records import NodeRecord

ONE, TWO, FAR = (NodeName(name) for name in ("hub-1", "hub-2", "far"))


def build_record(name: NodeName) -> NodeRecord:
    return NodeRecord(
        name,
        Incarnation("i"),
        DomainName("d"),
        Address(f"{name}:1"),
        Address(f"{name}:4"),
    )


def build_node_directory() -> NodeDirectory:
    node_directory = NodeDirectory(build_record(NodeName("own")), ())
    for name in (ONE, TWO, FAR):
        node_directory.apply(build_record(name))
    return node_directory


def test_node_that_one_hub_calls_stopping_is_not_named() -> None:
    """A node is stopping; one hub knows it, another hub or an old list does not yet.

    Callers directed to it lose their calls, so the worse report counts, in either
    order.
    """
    for first, second in ((True, False), (False, True)):
        node_directory = build_node_directory()
        node_directory.record_hub_report(ONE, (NodeUpdate(FAR, first),), 0.0)
        node_directory.record_hub_report(TWO, (NodeUpdate(FAR, second),), 0.0)
        assert node_directory.find_alive(1.0) == [FAR]
        assert node_directory.find_addresses(1.0) == []


def test_what_a_node_says_of_itself_goes_before_what_hubs_say() -> None:
    node_directory = build_node_directory()
    node_directory.record_hub_report(ONE, (NodeUpdate(FAR, True),), 0.0)
    assert node_directory.find_addresses(1.0) == ["far:1"]
    assert node_directory.record_status(FAR, False, 2.0)
    assert node_directory.find_addresses(3.0) == []


def test_what_was_told_grows_old() -> None:
    node_directory = build_node_directory()
    assert node_directory.record_hub_report(ONE, (NodeUpdate(FAR, True),), 0.0)
    assert not node_directory.record_hub_report(ONE, (NodeUpdate(FAR, True),), 10.0)
    assert node_directory.find_alive(10.0 + HUB_REPORT_TTL_MS) == [FAR]
    assert node_directory.find_alive(11.0 + HUB_REPORT_TTL_MS) == []
    node_directory.record_status(FAR, True, 0.0)
    assert node_directory.find_alive(STATUS_TTL_MS + 1.0) == [FAR]
    assert node_directory.find_alive(12.0 + HUB_REPORT_TTL_MS) == []


def test_node_is_not_told_of_itself() -> None:
    node_directory = build_node_directory()
    node_directory.record_hub_report(ONE, (NodeUpdate(NodeName("own"), True),), 0.0)
    assert node_directory.find_alive(1.0) == []


NAMES = (ONE, TWO, FAR)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["status", "report", "remove", "links"]),
        st.sampled_from(NAMES),
        st.booleans(),
        st.sampled_from([0.0, 250.0, STATUS_TTL_MS, HUB_REPORT_TTL_MS + 1.0]),
    ),
    max_size=12,
)


def apply_step(
    node_directory: NodeDirectory, step: tuple[str, NodeName, bool], now_ms: float
) -> None:
    kind, name, is_ready = step
    match kind:
        case "status":
            node_directory.record_status(name, is_ready, now_ms)
        case "report":
            reported = [NodeUpdate(name, is_ready)] + [NodeUpdate(FAR, True)] * is_ready
            node_directory.record_hub_report(ONE, reported, now_ms)
        case "remove":
            node_directory.remove(name)
        case "links":
            node_directory.retain_linked([name])


@given(STEPS)
def test_asking_often_changes_no_answer(
    steps: list[tuple[str, NodeName, bool, float]],
) -> None:
    """The set of live nodes is merged only when it may have changed.

    If a node's failure or return were missed, callers would be directed to a dead node
    or never to a live one, and a dead node might stay first for a subject. So a
    directory queried after each step must answer like one that is queried once.
    """
    queried, unqueried = build_node_directory(), build_node_directory()
    now_ms = 0.0
    for kind, name, is_ready, wait_ms in steps:
        now_ms += wait_ms
        for node_directory in (queried, unqueried):
            apply_step(node_directory, (kind, name, is_ready), now_ms)
        queried.find_rank("orders", now_ms)
        queried.find_addresses(now_ms)
    now_ms += 1.0
    assert queried.find_alive(now_ms) == unqueried.find_alive(now_ms)
    assert queried.find_addresses(now_ms) == unqueried.find_addresses(now_ms)
    assert queried.find_rank("orders", now_ms) == unqueried.find_rank("orders", now_ms)
    assert queried.count_nodes(now_ms) == unqueried.count_nodes(now_ms)
