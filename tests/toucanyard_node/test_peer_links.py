from __future__ import annotations

import random
from collections.abc import Sequence
from contextlib import suppress

import cbor2
import pytest
import trio
from websockets.exceptions import ConnectionClosed
from websockets.trio.client import connect

from toucanyard.core_events import LinksChanged, MessageRead, SendMessage
from toucanyard.digests import Digest
from toucanyard.names import (
    Address,
    DomainName,
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.options import MembershipTimings
from toucanyard.vm_view import Vm
from toucanyard_node.core_links import CORE_LINKS, LinkEvent
from toucanyard_node.peer_handshake import Hello, Side, authenticate_peer, compute_mac
from toucanyard_node.peer_links import PeerLinks
from toucanyard_node.rate_limit import RateLimit

TIMINGS = MembershipTimings(digest_interval_ms=100)


class Peer:
    """The links of one node on an ephemeral port."""

    def __init__(
        self, name: str, secrets: Sequence[str], known: list[Vm], incarnation: str = "a"
    ) -> None:
        self.identity = NodeId(NodeName(name), Incarnation(incarnation))
        self.events: list[LinkEvent] = []
        self.known = known
        self.links = PeerLinks(
            self.identity,
            secrets,
            TIMINGS,
            self.find,
            self.record_event,
            random.Random(1),
            CORE_LINKS,
        )
        self.outbox, self._messages = trio.open_memory_channel[SendMessage](100)
        self.port = 0

    def find(self) -> list[Vm]:
        return [vm for vm in self.known if vm.name != self.identity.node]

    async def record_event(self, event: LinkEvent) -> None:
        self.events.append(event)

    async def start(self, nursery: trio.Nursery) -> Vm:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(self.links.run, listeners[0], self._messages)
        address = Address(f"127.0.0.1:{self.port}")
        return Vm(self.identity.node, DomainName("d"), peers=address)

    def find_links(self) -> list[NodeId]:
        changes = [each for each in self.events if isinstance(each, LinksChanged)]
        return list(changes[-1].peers) if changes else []

    def find_messages(self) -> list[MessageRead]:
        return [each for each in self.events if isinstance(each, MessageRead)]

    def send_digest(self, to: str, number: int) -> None:
        digest = Digest(self.identity.node, float(number), -1.0, 0, 0, -1.0)
        self.outbox.send_nowait(SendMessage(NodeName(to), digest))

    async def send_digests(self, to: str) -> None:
        """Send a digest in every interval, as a node does."""
        number = 0
        while True:
            number += 1
            self.send_digest(to, number)
            await trio.sleep(TIMINGS.digest_interval_ms / 1000)


async def wait_for_links(peer: Peer, names: Sequence[str]) -> None:
    with trio.fail_after(10):
        while sorted(each.node for each in peer.find_links()) != sorted(names):
            await trio.sleep(0.01)


async def test_nodes_that_dial_each_other_keep_one_link_and_talk() -> None:
    known: list[Vm] = []
    one, two = Peer("n1", ["s"], known), Peer("n2", ["s"], known)
    async with trio.open_nursery() as nursery:
        vms = [await each.start(nursery) for each in (one, two)]
        nursery.start_soon(one.send_digests, "n2")
        nursery.start_soon(two.send_digests, "n1")
        known += vms
        await wait_for_links(one, ["n2"])
        await wait_for_links(two, ["n1"])
        with trio.fail_after(10):
            while not (one.find_messages() and two.find_messages()):
                await trio.sleep(0.01)
        assert one.find_messages()[0].sender == two.identity
        assert len(one.find_links()) == len(two.find_links()) == 1
        nursery.cancel_scope.cancel()


async def test_secret_is_rotated_without_a_cut_and_a_wrong_one_refused() -> None:
    """Half of the nodes already sign with the new secret, and all accept both, so they
    stay linked. A node that knows neither must not receive any messages."""
    known: list[Vm] = []
    old, new = Peer("n1", ["old", "new"], known), Peer("n2", ["new", "old"], known)
    async with trio.open_nursery() as nursery:
        vms = [await each.start(nursery) for each in (old, new)]
        stranger = Peer("n3", ["other"], vms)
        await stranger.start(nursery)
        nursery.start_soon(old.send_digests, "n2")
        nursery.start_soon(new.send_digests, "n1")
        known += vms
        await wait_for_links(old, ["n2"])
        with trio.fail_after(10):
            while not old.links.counts.refused:
                await trio.sleep(0.01)
        assert stranger.find_links() == []
        assert [each.node for each in old.find_links()] == ["n2"]
        nursery.cancel_scope.cancel()


async def test_silent_link_is_given_up() -> None:
    """A middlebox loses the state of a connection, which stays open without receiving
    anything. The node must close it, or it would never dial again."""
    one, two = Peer("n1", ["s"], []), Peer("n2", ["s"], [])
    async with trio.open_nursery() as nursery:
        one.known.append(await two.start(nursery))
        await one.start(nursery)
        await wait_for_links(one, ["n2"])
        one.known.clear()
        await wait_for_links(one, [])
        await wait_for_links(two, [])
        nursery.cancel_scope.cancel()


async def test_new_incarnation_takes_the_place_of_the_old_link() -> None:
    known: list[Vm] = []
    one = Peer("n1", ["s"], [])
    async with trio.open_nursery() as nursery:
        known.append(await one.start(nursery))
        old = Peer("n2", ["s"], known, "old")
        new = Peer("n2", ["s"], known, "new")
        await old.start(nursery)
        await wait_for_links(old, ["n1"])
        old.known = []
        await new.start(nursery)
        with trio.fail_after(10):
            while [each.incarnation for each in one.find_links()] != ["new"]:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


async def send_frames(port: int, frames: Sequence[bytes | str]) -> int:
    """Send invalid frames; return the number of frames received until the close."""
    answers = 0
    async with connect(f"ws://127.0.0.1:{port}/", proxy=None) as socket:
        try:
            for frame in frames:
                await socket.send(frame)
            with trio.move_on_after(5):
                while True:
                    await socket.recv()
                    answers += 1
        except ConnectionClosed:
            pass
    return answers


async def test_strangers_words_end_their_connection_only() -> None:
    """Unauthenticated clients send arbitrary frames. They must be refused without
    affecting other links or receiving a proof that could be reflected."""
    one, two = Peer("n1", ["s"], []), Peer("n2", ["s"], [])
    mine = Hello(1, "n2", "a", b"0" * 32)
    reflected = compute_mac("wrong", Side.CLIENT, mine, mine)
    hello = cbor2.dumps({"version": 1, "node": "n2", "incarnation": "a", "nonce": b""})
    proof = cbor2.dumps({"mac": reflected})
    good = hello.replace(b"enonce@", b"enonceX\x20" + b"0" * 32)
    async with trio.open_nursery() as nursery:
        one.known.append(await two.start(nursery))
        await one.start(nursery)
        nursery.start_soon(two.send_digests, "n1")
        await wait_for_links(one, ["n2"])
        for frames in (
            ["text"],
            [b"\xff\xff"],
            [hello],
            [good, proof],
            [b"\x9f" * 5_000],
            [cbor2.dumps({"version": 2, "node": "n", "incarnation": "", "nonce": b""})],
        ):
            assert await send_frames(one.port, frames) <= 2
        assert one.links.counts.refused >= 6
        assert [each.node for each in one.find_links()] == ["n2"]
        nursery.cancel_scope.cancel()


def test_rate_limit_makes_a_fast_sender_wait() -> None:
    limit = RateLimit(10.0, 1_000.0, 1_000.0)
    waits = [limit.spend(1, 0.0) for _ in range(12)]
    assert waits[9] == 0.0 and waits[11] == 0.2
    assert limit.spend(2_000, 10.0) == 1.0


@pytest.mark.parametrize(("incarnation", "is_taken"), [("a", False), ("b", True)])
async def test_second_link_replaces_the_first_only_after_a_restart(
    incarnation: str, is_taken: bool
) -> None:
    """Two nodes dial each other at the same time. If each kept the later link, each
    could drop the link that the other kept. A restarted node must be accepted."""
    one, two = Peer("n1", ["s"], []), Peer("n2", ["s"], [])
    async with trio.open_nursery() as nursery:
        one.known.append(await two.start(nursery))
        await one.start(nursery)
        nursery.start_soon(two.send_digests, "n1")
        await wait_for_links(one, ["n2"])
        async with connect(f"ws://127.0.0.1:{one.port}/", proxy=None) as socket:
            identity = NodeId(NodeName("n2"), Incarnation(incarnation))
            await authenticate_peer(socket, Side.CLIENT, identity, ["s"])
            with trio.move_on_after(0.3) as scope, suppress(ConnectionClosed):
                await socket.recv()
            assert scope.cancelled_caught == is_taken
            assert one.find_links() == [identity if is_taken else two.identity]
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:x", "[x", "[x]:1"])
async def test_address_that_is_none_fails_its_dial_only(address: str) -> None:
    """The VM list contains an invalid address. Dialing it must fail like dialing an
    unreachable node, without affecting other links."""
    one, two = Peer("n1", ["s"], []), Peer("n2", ["s"], [])
    one.known.append(Vm("n3", DomainName("d"), peers=Address(address)))
    async with trio.open_nursery() as nursery:
        await one.start(nursery)
        await trio.sleep(0.1)
        one.known.append(await two.start(nursery))
        nursery.start_soon(two.send_digests, "n1")
        await wait_for_links(one, ["n2"])
        nursery.cancel_scope.cancel()
