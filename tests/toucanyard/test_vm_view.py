from __future__ import annotations

from collections import Counter

from toucanyard.names import NodeName
from toucanyard.vm_view import Vm, WatchRing, choose_peers

from .membership_fakes import DOMAIN

NODES = [Vm(f"n{n}", DOMAIN) for n in range(320)]


def test_links_of_320_nodes_are_few_and_hold_the_fleet_together() -> None:
    links: dict[str, set[str]] = {vm.name: set() for vm in NODES}
    for vm in NODES:
        for peer in choose_peers(NodeName(vm.name), NODES, 8):
            links[vm.name].add(peer.name)
            links[peer.name].add(vm.name)
    reached, edge, steps = {"n0"}, {"n0"}, 0
    while edge:
        edge = {peer for name in edge for peer in links[name]} - reached
        reached |= edge
        steps += bool(edge)
    assert len(reached) == 320 and steps <= 6
    assert sum(map(len, links.values())) / 320 <= 8


def test_each_endpoint_has_watchers_and_no_node_has_most_of_them() -> None:
    ring = WatchRing([vm.name for vm in NODES])
    counts: Counter[str] = Counter()
    for number in range(4_400):
        watchers = ring.find_watchers(f"e{number}", 3)
        assert len(set(watchers)) == 3
        counts.update(watchers)
    assert max(counts.values()) < 3 * 4_400 * 3 / 320


def test_few_nodes_know_each_other_all() -> None:
    assert len(choose_peers(NodeName("n0"), NODES[:9], 8)) == 8
    assert WatchRing(["n0"]).find_watchers("e0", 3) == ["n0"]
    assert WatchRing([]).find_watchers("e0", 3) == []
