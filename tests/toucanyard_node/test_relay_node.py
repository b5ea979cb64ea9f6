from __future__ import annotations

import random

import pytest
import trio

from toucanyard.names import Address, DomainName, Incarnation, NodeId, NodeName
from toucanyard.relay_core import RelayCore
from toucanyard.relay_options import RelayListen, RelayOptions
from toucanyard_node import relay_node
from toucanyard_node.bounded_output import BoundedOutput
from toucanyard_node.held_bytes import ReceivedBytes
from toucanyard_node.http_exchange import HttpRequest, Responder
from toucanyard_node.relay_node import AuxiliaryHandlers, Ports, RelayNode

LISTEN = RelayListen(*(Address(f"127.0.0.1:{port}") for port in range(1, 6)))


class OpenedError(Exception):
    """Ends a run when its first listening socket is opened."""


async def answer_nothing(_: HttpRequest, __: Responder) -> None:
    raise AssertionError


async def test_callers_socket_is_open_before_the_node_can_be_ready(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A starting node receives the routes from a peer within milliseconds.

    It then reports readiness and its address is given to callers. If the socket for
    callers were opened later, the first connections would be refused.
    """
    opened: list[Address] = []

    async def open_first(address: Address) -> trio.SocketListener:
        opened.append(address)
        raise OpenedError

    monkeypatch.setattr(relay_node, "_listen", open_first)
    options = RelayOptions(NodeName("n"), DomainName("d"), LISTEN, LISTEN.callers)
    identity = NodeId(options.name, Incarnation("i"))
    rng = random.Random(1)
    core = RelayCore(options, identity, lambda *_: None, rng)
    unused = Ports(None, None, None, None)  # type: ignore[arg-type]
    node = RelayNode(
        core, unused, BoundedOutput(1), rng, ReceivedBytes(core.options.bytes_received)
    )
    pages = AuxiliaryHandlers(answer_nothing, answer_nothing, answer_nothing)
    with pytest.raises(OpenedError):
        await node.run(pages)
    assert opened == [LISTEN.callers]
