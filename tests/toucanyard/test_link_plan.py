from __future__ import annotations

import pytest

from toucanyard.link_plan import LINKS, RETRY_MS, UNREACHABLE_AFTER_MS, LinkPlan
from toucanyard.names import Address, DomainName, Incarnation, NodeName
from toucanyard.node_records import NodeRecord

DOMAINS = 3
NODES = [
    NodeRecord(
        NodeName(f"n{number}"),
        Incarnation("i"),
        DomainName(f"d{number % DOMAINS}"),
        Address(f"10.0.0.{number}:1"),
        Address(f"10.0.0.{number}:4"),
        link_mbps=100.0 if number < 2 * DOMAINS else 5.0,
    )
    for number in range(60)
]
FAST = {node.name for node in NODES[: 2 * DOMAINS]}


def build_plan(own: int) -> tuple[LinkPlan, list[NodeRecord]]:
    return LinkPlan(NODES[own]), [node for node in NODES if node is not NODES[own]]


def test_all_nodes_agree_on_hubs_that_have_the_fastest_links() -> None:
    for number in (0, 7, 59):
        plan, others = build_plan(number)
        plan.update(others, (), 0.0)
        assert plan.hubs == FAST


def test_hubs_are_meshed_and_others_link_to_hubs_of_their_domain() -> None:
    hub, others = build_plan(0)
    hub.update(others, (), 0.0)
    assert set(hub.wanted) == FAST - {NodeName("n0")}
    leaf, others = build_plan(30)
    leaf.update(others, (), 0.0)
    assert len(leaf.wanted) == LINKS
    assert set(leaf.wanted) <= {NodeName("n0"), NodeName("n3")}


def test_nodes_report_to_either_hub_of_a_domain() -> None:
    primaries = set()
    for number in range(6, 60, DOMAINS):
        leaf, others = build_plan(number)
        leaf.update(others, (), 0.0)
        primaries.add(leaf.find_primary(FAST))
    assert primaries == {NodeName("n0"), NodeName("n3")}


def test_hub_out_of_reach_is_passed_over_and_tried_again() -> None:
    """A node's hub loses power, and the node's connection attempts time out.

    The node reports to its second hub at once and links to a third one; when the first
    hub is back, it is used again.
    """
    leaf, others = build_plan(30)
    leaf.update(others, (), 0.0)
    first, second = leaf.wanted
    assert leaf.find_primary({first, second}) == first
    assert leaf.find_primary({second}) == second
    leaf.update(others, {second}, 1.0)
    leaf.update(others, {second}, 2.0 + UNREACHABLE_AFTER_MS)
    assert first not in leaf.hubs
    assert second in leaf.wanted
    assert len(leaf.wanted) == LINKS
    leaf.update(others, set(leaf.wanted), 3.0 + UNREACHABLE_AFTER_MS + RETRY_MS)
    assert first in leaf.hubs


def test_node_whose_domain_is_out_of_reach_reports_to_another_one() -> None:
    """All other nodes of a domain lose power.

    Without links to other domains, the remaining node would try them in turn for half a
    minute, without knowing other nodes' calls meanwhile.
    """
    leaf, others = build_plan(30)
    leaf.update(others, (), 0.0)
    leaf.update(others, (), 1.0)
    leaf.update(others, (), 2.0 + UNREACHABLE_AFTER_MS)
    far = [name for name in leaf.wanted if name in FAST]
    assert len(far) == LINKS
    assert leaf.find_primary(far) == far[0]


@pytest.mark.parametrize("own", [0, 30])
def test_node_never_links_to_itself(own: int) -> None:
    plan, others = build_plan(own)
    plan.update(others, (), 0.0)
    assert NODES[own].name not in plan.wanted
