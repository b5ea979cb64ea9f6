"""Choose the node that a caller should use.

Nodes are equal, so callers are assigned a random one: this distributes them evenly
without information about load. An issued key is valid only on the node that issued it,
so it is returned only together with this node's own address.
"""

from __future__ import annotations

import random

import trio

from toucanyard.membership import Membership
from toucanyard.names import Address, NodeName
from toucanyard.node_core import NodeCore
from toucanyard.options import Options
from toucanyard_node.drain import DrainState
from toucanyard_node.locate_response import IssuedKey, LocateResponse, NodeAddress


class Locator:
    """Find the nodes that serve callers; leaving and draining ones are excluded."""

    __slots__ = ("_address", "_core", "_drain", "_options", "_rng")

    def __init__(
        self,
        core: NodeCore,
        options: Options,
        address: Address,
        drain: DrainState,
        rng: random.Random,
    ) -> None:
        self._core = core
        self._options = options
        self._address = address
        self._drain = drain
        self._rng = rng

    def locate(self, prefers_this_node: bool) -> LocateResponse:
        """Return the node to use; this one if preferred and not draining."""
        nodes = self._find_nodes()
        self._rng.shuffle(nodes)
        own = self._build_own_address()
        if prefers_this_node and not self._drain.is_draining():
            chosen = own
        else:
            chosen = nodes[0] if nodes else own
        issued_key = self._issue_key() if chosen.node == own.node else None
        return LocateResponse(
            node=chosen.node,
            address=chosen.address,
            keep_ms=self._options.callers.locate_ttl_ms,
            addresses=tuple(nodes),
            issued_key=issued_key,
        )

    def _find_nodes(self) -> list[NodeAddress]:
        now_ms = trio.current_time() * 1000
        nodes = find_live_nodes(self._core.membership, now_ms)
        nodes = [each for each in nodes if each.node != self._options.name]
        if not self._drain.is_draining():
            nodes.append(self._build_own_address())
        return nodes

    def _build_own_address(self) -> NodeAddress:
        options = self._options
        return NodeAddress(options.name, self._address, options.domain)

    def _issue_key(self) -> IssuedKey:
        now_ms = trio.current_time() * 1000
        prefix = self._core.claims.issue_prefix(now_ms)
        return IssuedKey(prefix, self._options.claims.window_ms)


def find_live_nodes(membership: Membership, now_ms: float) -> list[NodeAddress]:
    """Return the nodes of the VM list that no gossip update reports as leaving."""
    return [
        NodeAddress(NodeName(vm.name), vm.callers, vm.domain)
        for vm in membership.find_nodes()
        if vm.callers and not membership.is_address_leaving(vm.callers, now_ms)
    ]
