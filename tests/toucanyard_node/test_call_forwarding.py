"""Test calls that a node without a connection to replicas forwards to another node."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import cbor2
import pytest
import trio
import trio.testing

from toucanyard.byte_limits import ByteLimits
from toucanyard.call_forwards import CONNECT_MS, UNREACHED_PAUSE_MS
from toucanyard.forwarded_calls import (
    AnswerHead,
    BodyPart,
    ForwardedCall,
    decode_forward_message,
)
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
)
from toucanyard.node_records import NodeRecord
from toucanyard.options import MembershipTimings
from toucanyard.relay_events import SendToPeer
from toucanyard.requests import Repeatability
from toucanyard.routes import CallBounds
from toucanyard_node import forward_channel
from toucanyard_node.forward_channel import (
    ForwardChannel,
    ForwardClosedError,
    open_forward_channel,
)
from toucanyard_node.forward_server import ForwardServer
from toucanyard_node.held_bytes import HeldBytes
from toucanyard_node.http_server import find_port
from toucanyard_node.peer_handshake import authenticate_peer
from toucanyard_node.peer_links import PeerLinks
from toucanyard_node.relay_node import RELAY_LINKS

from .relay_harness import (
    SERVICE,
    SIGNED,
    RelayHarness,
    Script,
    ScriptedReplica,
    answer,
    build_call,
    build_event,
    close_without_answer,
    find_header,
    never_answer,
    start_harness,
    stream_events,
)
from .test_relay_exchange import find_body, find_status, join_chunks

ONCE = {"repeatability": Repeatability.RUN_ONCE}
STREAM = {"is_stream": True, "max_gap_ms": 300, "is_resumable": True}
STATUS_S = 0.4
PAUSE_S = 1.3
"""Longer than a node waits for a peer whose calls have a target of 150 ms."""
HANG_S = 20.0
"""Time after which a test that waits counts as stuck."""
LONG = {"timeout_ms": 60_000}
"""A timeout of the route that ends no call of a test."""
LARGE_BODY = bytes(range(256)) * 4_000


class AbsentReplica(ScriptedReplica):
    """A replica at an address without a listener."""

    async def start(self, _: trio.Nursery) -> None:
        """Open no socket."""


class ForwardPeer:
    """A node that accepts forwarded calls, and the name that others know it by."""

    def __init__(
        self, name: str, harness: RelayHarness, secret: str = "secret", limit: int = 9
    ) -> None:
        self.name = NodeName(name)
        self.harness = harness
        handler = harness.relay_server.handle_forwarded
        self.held = HeldBytes(ByteLimits().max_held_peer_bytes)
        self.max_body_bytes = CallBounds().max_body_bytes
        self.server = ForwardServer(
            handler, lambda: limit, lambda: self.max_body_bytes, self.held
        )
        identity = NodeId(self.name, Incarnation("i"))
        self.links: PeerLinks[object, object] = PeerLinks(
            identity,
            (secret,),
            MembershipTimings(),
            list,
            self.ignore,
            random.Random(1),
            RELAY_LINKS,  # type: ignore[arg-type]
            self.serve,
        )
        self.channels: list[trio.CancelScope] = []
        self.address = Address("127.0.0.1:1")

    async def serve(self, channel: ForwardChannel, peer: NodeId) -> None:
        with trio.CancelScope() as scope:
            self.channels.append(scope)
            await self.server.serve(channel, peer)

    async def ignore(self, _: object) -> None:
        """Drop an event."""

    async def start(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = Address(f"127.0.0.1:{find_port(listeners[0])}")
        _, messages = trio.open_memory_channel[SendToPeer](9)
        nursery.start_soon(self.links.run, listeners[0], messages)


class AbsentPeer(ForwardPeer):
    """A node that has just ended."""

    async def start(self, _: trio.Nursery) -> None:
        """Open no socket."""


def build_node(scripts: list[Script], **route: object) -> RelayHarness:
    """Return a node with one replica for each script."""
    replicas = [ScriptedReplica(f"r{n}", each) for n, each in enumerate(scripts)]
    return RelayHarness(replicas, **route)


@asynccontextmanager
async def open_cut_off_node(
    peers: list[ForwardPeer], **route: object
) -> AsyncIterator[RelayHarness]:
    """Run a node whose two replicas refuse connections, and its peers."""
    harness = RelayHarness([AbsentReplica("x"), AbsentReplica("y")], **route)
    async with trio.open_nursery() as nursery:
        for peer in peers:
            await peer.start(nursery)
        async with start_harness(harness):
            nursery.start_soon(report_statuses, harness, peers)
            await trio.testing.wait_all_tasks_blocked()
            yield harness
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def open_pair(
    script: Script, **route: object
) -> AsyncIterator[tuple[RelayHarness, ForwardPeer, ScriptedReplica]]:
    """Run a cut-off node and its only peer, which reaches one replica."""
    reaching = build_node([script], **route)
    async with start_harness(reaching):
        peer = ForwardPeer("b", reaching)
        async with open_cut_off_node([peer], **route) as harness:
            yield harness, peer, reaching.replicas[0]


async def report_statuses(harness: RelayHarness, peers: list[ForwardPeer]) -> None:
    """Keep peers alive in the view of a node."""
    while True:
        for peer in peers:
            record = NodeRecord(
                peer.name,
                Incarnation("i"),
                DomainName("d"),
                peer.address,
                peer.address,
            )
            now_ms = trio.current_time() * 1000
            harness.core.node_directory.apply(record)
            harness.core.node_directory.record_status(peer.name, True, now_ms)
        await trio.sleep(STATUS_S)


async def forward(script: Script, call: bytes, **route: object) -> bytes:
    """Return the answer to a call at a node whose only peer reaches one replica."""
    async with open_pair(script, **route) as (harness, peer, _):
        received = await harness.call(call)
        assert harness.core.flow.count_pending() == 0
        with trio.fail_after(HANG_S):
            await peer.server.wait_idle()
        assert peer.harness.core.flow.count_pending() == 0
        return received


async def test_call_and_answer_pass_unchanged_through_a_peer() -> None:
    call = build_call("/a/x?q=%20&r", "X-Deadline: 900", body=b"\x01\x02")
    async with open_pair(answer(200, b"\x00\xffbytes")) as (harness, _, replica):
        received = await harness.call(call)
    assert find_status(received) == 200
    assert find_body(received) == b"\x00\xffbytes"
    assert replica.calls[0].startswith(b"POST /a/x?q=%20&r HTTP/1.1")
    assert replica.calls[0].endswith(b"\r\n\r\n\x01\x02")
    assert find_header(replica.calls[0], b"x-id") == b"q1"
    assert 0 < int(find_header(replica.calls[0], b"x-left")) <= 900


async def test_large_bodies_pass_whole_in_both_directions() -> None:
    async with open_pair(answer(200, LARGE_BODY)) as (harness, _, replica):
        received = await harness.call(build_call(body=LARGE_BODY))
    assert find_body(received) == LARGE_BODY
    assert replica.calls[0].endswith(LARGE_BODY)


async def test_stream_passes_whole_through_a_peer() -> None:
    events = [build_event(number) for number in range(1, 5)]
    received = await forward(stream_events(*events), build_call(), **STREAM)
    assert join_chunks(received) == (b"".join(events), True)


async def test_stream_cut_at_the_replica_does_not_end_as_complete() -> None:
    """Guards against an incomplete stream that looks complete behind the hop."""
    script = stream_events(build_event(1), is_whole=False)
    received = await forward(script, build_call(), **STREAM | {"max_attempts": 1})
    body, is_complete = join_chunks(received)
    assert body == build_event(1)
    assert not is_complete


async def test_lost_call_that_may_run_once_is_unknown_behind_a_hop() -> None:
    """Guards against "not run" for a call that the peer's replica may have run."""
    received = await forward(close_without_answer, build_call(), **ONCE)
    assert find_status(received) == 502
    assert b'"not_run":false' in received


async def test_refusal_of_the_peer_says_not_run_and_when_to_come_back() -> None:
    refusing = answer(503, b"", b"X-Unrun: 1\r\n")
    received = await forward(refusing, build_call(), **ONCE)
    assert find_status(received) == 503
    assert b'"not_run":true' in received
    assert 0 < float(find_header(received, b"retry-after")) < 5


async def test_failure_answer_of_a_replica_passes_through_a_peer() -> None:
    received = await forward(answer(500, b"broken"), build_call(), **ONCE)
    assert find_status(received) == 500
    assert find_body(received) == b"broken"


async def test_call_goes_to_another_peer_if_one_can_not_be_reached() -> None:
    """Guards against losing a call to a peer that has just ended."""
    async with start_harness(build_node([answer()], **ONCE)) as reaching:
        peers = [AbsentPeer("a", reaching), ForwardPeer("b", reaching)]
        async with open_cut_off_node(peers, **ONCE) as harness:
            for _ in range(6):
                assert find_status(await harness.call(build_call())) == 200


async def test_peer_with_another_secret_gets_no_call() -> None:
    """Guards against sending calls to a process that is not a node of this fleet."""
    async with start_harness(build_node([answer()], **ONCE)) as reaching:
        peer = ForwardPeer("b", reaching, secret="other")
        async with open_cut_off_node([peer], **ONCE) as harness:
            received = await harness.call(build_call())
        assert find_status(received) == 503
        assert b'"not_run":true' in received
        assert reaching.replicas[0].calls == []


async def test_handshake_that_ends_too_late_is_no_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call whose connection is closed without an answer.

    The time for the connection to a peer ends just as its handshake does.
    """

    async def authenticate_late(*arguments: Any) -> NodeId:
        peer = await authenticate_peer(*arguments)
        with trio.CancelScope(shield=True):
            await trio.sleep(2 * CONNECT_MS / 1000)
        return peer

    monkeypatch.setattr(forward_channel, "authenticate_peer", authenticate_late)
    async with open_pair(answer(), **ONCE) as (harness, _, replica):
        received = await harness.call(build_call())
    assert find_status(received) == 503
    assert not replica.calls


async def test_call_is_forwarded_once_only() -> None:
    """Guards against calls that go round among nodes that reach no replica.

    The deadline ends before a peer that refused may be asked again.
    """
    deadline_ms = int(UNREACHED_PAUSE_MS / 2)
    async with open_cut_off_node([], **ONCE) as other:
        peer = ForwardPeer("b", other)
        async with open_cut_off_node([peer], **ONCE) as harness:
            received = await harness.call(
                build_call("/a/x", f"X-Deadline: {deadline_ms}")
            )
        assert peer.server.received <= 1
        assert other.core.forwards.count == 0
    assert find_status(received) == 503
    assert b'"not_run":true' in received


async def test_peer_without_capacity_refuses_at_once() -> None:
    """Guards against overloading the few nodes that still reach replicas."""
    async with start_harness(build_node([answer()])) as reaching:
        peer = ForwardPeer("b", reaching, limit=0)
        async with open_cut_off_node([peer]) as harness:
            received = await harness.call(build_call())
    assert find_status(received) == 503
    assert b'"not_run":true' in received
    assert b"lack capacity" in received
    assert float(find_header(received, b"retry-after")) > 0


async def test_forwarded_body_beyond_the_memory_for_them_is_refused() -> None:
    """Guards against bodies of forwarded calls that exceed a node's memory together."""
    reaching = build_node([answer()], **ONCE)
    async with start_harness(reaching):
        peer = ForwardPeer("b", reaching)
        peer.held.open("others", len(LARGE_BODY)).add(len(LARGE_BODY))
        peer.held.max_bytes = 2 * len(LARGE_BODY)
        async with open_cut_off_node([peer], **ONCE) as harness:
            assert find_status(await harness.call(build_call())) == 200
            received = await harness.call(build_call(body=LARGE_BODY))
    assert find_status(received) == 503
    assert b'"not_run":true' in received
    assert peer.held.total_bytes == len(LARGE_BODY)


@pytest.mark.parametrize(
    ("announced_bytes", "part_bytes"), [(64_000_000, 100_000), (4_000_000, 0)]
)
async def test_forwarded_body_without_end_is_given_up(
    announced_bytes: int, part_bytes: int
) -> None:
    """Guards against a peer that announces more than any caller may send."""
    reaching = build_node([answer()])
    peer = ForwardPeer("b", reaching)
    call = ForwardedCall(
        "o",
        "POST",
        "/",
        (("Host", "h"),),
        announced_bytes,
        900,
        1,
        True,
        "",
        False,
        None,
    )
    identity = NodeId(NodeName("a"), Incarnation("i"))
    async with start_harness(reaching), trio.open_nursery() as nursery:
        await peer.start(nursery)
        async with open_forward_channel(
            peer.address, peer.name, identity, ("secret",), CONNECT_MS
        ) as channel:
            await channel.send(call)
            with pytest.raises(ForwardClosedError), trio.fail_after(HANG_S):
                while True:
                    await channel.send(BodyPart(bytes(part_bytes)))
        assert peer.held.peak_bytes <= CallBounds().max_body_bytes
        assert peer.held.total_bytes == 0
        assert not peer.server.received
        nursery.cancel_scope.cancel()


async def test_caller_that_leaves_ends_the_run_behind_the_hop() -> None:
    """Guards against replicas that work on for a caller that has left."""
    async with open_pair(never_answer, **LONG) as (harness, _, replica):
        stream = await trio.open_tcp_stream("127.0.0.1", harness.port)
        await stream.send_all(build_call())
        with trio.fail_after(HANG_S):
            await replica.called.wait()
            await stream.aclose()
            await replica.closed.wait()


async def test_peer_that_ends_after_the_call_was_sent_leaves_it_unknown() -> None:
    """Guards against "not run" when the hop breaks while the replica runs the call."""
    async with (
        open_pair(never_answer, **ONCE, **LONG) as (harness, peer, replica),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(cancel_once_called, peer, replica)
        received = await harness.call(build_call(), wait_s=HANG_S)
    assert find_status(received) == 502
    assert b'"not_run":false' in received


async def cancel_once_called(peer: ForwardPeer, replica: ScriptedReplica) -> None:
    """End a peer's side of the hop while its replica runs the call."""
    await replica.called.wait()
    for scope in peer.channels:
        scope.cancel()


async def test_stream_begun_here_is_resumed_through_a_peer() -> None:
    """Guards against events that are missing or sent twice when a node is cut off."""
    first = stream_events(build_event(1), build_event(2), is_whole=False, hold_s=0.1)
    rest = stream_events(build_event(3), build_event(4))
    replica = ScriptedReplica("r0", rest)
    async with start_harness(RelayHarness([replica], **STREAM)) as reaching:
        harness = build_node([first], **STREAM)
        async with trio.open_nursery() as nursery:
            peer = ForwardPeer("b", reaching)
            await peer.start(nursery)
            async with start_harness(harness):
                nursery.start_soon(report_statuses, harness, [peer])
                nursery.start_soon(cut_off_later, harness)
                received = await harness.call(build_call())
            nursery.cancel_scope.cancel()
    events = b"".join(build_event(number) for number in range(1, 5))
    assert join_chunks(received) == (events, True)
    assert find_header(replica.calls[0], b"x-last") == b"2"


async def cut_off_later(harness: RelayHarness) -> None:
    """Let a node find that it reaches no replica once its replica has been called."""
    await harness.replicas[0].called.wait()
    await trio.sleep(0.02)
    now_ms = trio.current_time() * 1000
    for known in harness.core.directory.find_listed(SERVICE, now_ms):
        harness.core.reach.record_failed(known.replica, now_ms, now_ms)


@pytest.mark.parametrize("is_stopping", [True, False])
async def test_stopping_peer_refuses_further_calls(is_stopping: bool) -> None:
    """Guards against calls that are cut off when the peer ends."""
    async with start_harness(build_node([answer()], **ONCE)) as reaching:
        peer = ForwardPeer("b", reaching)
        if is_stopping:
            peer.server.stop()
        async with open_cut_off_node([peer], **ONCE) as harness:
            received = await harness.call(build_call())
    assert find_status(received) == (503 if is_stopping else 200)


async def answer_after_a_pause(stream: trio.SocketStream, call: bytes) -> None:
    """Answer later than a node waits before it asks another peer."""
    await trio.sleep(PAUSE_S)
    await answer()(stream, call)


async def test_late_answer_through_the_only_peer_arrives() -> None:
    """Guards against giving up a peer that is silent though no other takes the call."""
    route: dict[str, Any] = {"target_ms": 150, "timeout_ms": 9_000}
    async with open_pair(answer_after_a_pause, **route) as (harness, peer, replica):
        received = await harness.call(build_call())
        assert find_status(received) == 200
        assert harness.core.flow.count_pending() == 0
        assert harness.core.flow.hedged.count_silent() == 0
        assert len(replica.calls) == 1
        with trio.fail_after(HANG_S):
            await peer.server.wait_idle()


async def test_forward_is_hedged_by_another_peer_and_the_silent_one_is_told() -> None:
    """Guards against a second peer that is asked only after the first was given up."""
    scripts: list[Script] = [never_answer]

    async def run_next(stream: trio.SocketStream, call: bytes) -> None:
        script = scripts.pop() if scripts else answer()
        await script(stream, call)

    nodes = [build_node([run_next], target_ms=150) for _ in "bc"]
    async with start_harness(nodes[0]), start_harness(nodes[1]):
        peers = [
            ForwardPeer(name, node) for name, node in zip("bc", nodes, strict=True)
        ]
        async with open_cut_off_node(peers, target_ms=150, **LONG) as harness:
            with trio.fail_after(HANG_S):
                received = await harness.call(build_call())
                assert find_status(received) == 200
                for peer in peers:
                    await peer.server.wait_idle()
        assert [peer.server.received for peer in peers] == [1, 1]


async def test_peer_that_is_silent_after_the_head_is_hedged_by_another() -> None:
    """Guards against a begun stream that waits for its deadline at a silent peer."""
    events = [build_event(number) for number in range(1, 5)]
    scripts = [
        stream_events(*events[:2], hold_s=HANG_S),
        stream_events(*events[2:]),
    ]

    async def run_next(stream: trio.SocketStream, call: bytes) -> None:
        await scripts.pop(0)(stream, call)

    route: dict[str, Any] = {**STREAM, **LONG, "target_ms": 150}
    nodes = [build_node([run_next], **route) for _ in "bc"]
    async with start_harness(nodes[0]), start_harness(nodes[1]):
        peers = [
            ForwardPeer(name, node) for name, node in zip("bc", nodes, strict=True)
        ]
        async with open_cut_off_node(peers, **route) as harness:
            with trio.fail_after(HANG_S / 2):
                received = await harness.call(build_call())
        assert join_chunks(received) == (b"".join(events), True)
        calls = [call for node in nodes for call in node.replicas[0].calls]
    assert sorted(find_header(call, b"x-last") for call in calls) == [b"", b"2"]


async def test_leave_stated_in_a_forwarded_answer_is_heeded_by_the_first_node() -> None:
    """Guards against calls to a leaving replica by a node that is no more cut off."""
    leaving = answer(200, b"whole", SIGNED + b"X-Leaving: 1\r\n")
    reaching = RelayHarness([ScriptedReplica("x", leaving)])
    async with start_harness(reaching):
        peer = ForwardPeer("b", reaching)
        async with open_cut_off_node([peer]) as harness:
            received = await harness.call(build_call())
            assert find_status(received) == 200
            known = harness.core.directory.find(EndpointName("x"))
            assert known is not None
            assert known.leave_stated_ms is not None


@pytest.mark.parametrize(
    ("script", "route"),
    [
        (answer(500, b"fails", SIGNED + b"X-Leaving: 1\r\n"), {"max_attempts": 1}),
        (stream_events(build_event(1), headers=b"X-Leaving: 1\r\n"), STREAM),
    ],
)
async def test_leave_stated_in_any_forwarded_answer_is_heeded(
    script: Script, route: dict[str, Any]
) -> None:
    """Guards against statements that are read from plain answers only."""
    reaching = RelayHarness([ScriptedReplica("x", script)], **route)
    async with start_harness(reaching):
        peer = ForwardPeer("b", reaching)
        async with open_cut_off_node([peer], **route) as harness:
            await harness.call(build_call())
            known = harness.core.directory.find(EndpointName("x"))
            assert known is not None
            assert known.leave_stated_ms is not None


def test_answer_of_a_node_that_names_no_replica_is_read() -> None:
    """Guards against answers that nodes of an older version can no longer pass on."""
    data = cbor2.dumps(["h", 200, [], False])
    assert decode_forward_message(data) == AnswerHead(200, (), is_stream=False)
