"""A forwarded call is answered or refused, whatever happens to its handler."""

from __future__ import annotations

from typing import cast

import pytest
import trio
from structlog.testing import capture_logs
from trio.testing import MockClock

from toucanyard.byte_limits import ByteLimits
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.forwarded_calls import (
    CallAccepted,
    CallRefused,
    ForwardedCall,
    ForwardMessage,
)
from toucanyard.names import Incarnation, NodeId, NodeName, RequestId
from toucanyard_node.forward_channel import ForwardChannel, ForwardClosedError
from toucanyard_node.forward_server import ForwardResponder, ForwardServer, Handler
from toucanyard_node.held_bytes import HeldBytes
from toucanyard_node.http_exchange import CallerGoneError, HttpRequest

PEER = NodeId(NodeName("p"), Incarnation("i"))
CALL = ForwardedCall(
    origin=RequestId("q-1"),
    method="GET",
    target="/a",
    fields=(("Host", "h"),),
    body_bytes=0,
    remaining_ms=1_000,
    max_attempts=1,
    is_counted=True,
    last_event_id="",
    has_begun=False,
    weights_version=None,
)


def build_server(handler: Handler) -> ForwardServer:
    held = HeldBytes(ByteLimits().max_held_peer_bytes)
    return ForwardServer(handler, lambda: 9, lambda: 1_000, held)


class ScriptedChannel:
    """A channel that brings one call and records what is sent on it."""

    def __init__(self, open_s: float = 1_000.0) -> None:
        self.sent: list[ForwardMessage] = []
        self._open_s = open_s

    async def receive(self) -> ForwardMessage:
        await trio.lowlevel.checkpoint()
        return CALL

    async def send(self, message: ForwardMessage) -> None:
        await trio.lowlevel.checkpoint()
        self.sent.append(message)

    async def wait_closed(self) -> None:
        await trio.sleep(self._open_s)


async def serve(error: Exception | None, channel: ScriptedChannel) -> ForwardServer:
    async def handle(
        _: HttpRequest, __: ForwardResponder, ___: object, ____: object
    ) -> None:
        if channel.sent[-1:] != [CallAccepted()]:
            raise AssertionError
        if error is not None:
            raise error

    server = build_server(handle)
    await server.serve(cast(ForwardChannel, channel), PEER)
    return server


@pytest.mark.parametrize(
    "error", [ValueError("a fault"), CallerGoneError(), ForwardClosedError("x"), None]
)
async def test_handler_without_an_answer_is_answered_for(
    error: Exception | None, autojump_clock: MockClock
) -> None:
    """Guards against a peer that closes an accepted call without a word."""
    channel = ScriptedChannel()
    server = await serve(error, channel)
    accepted, refused = channel.sent
    assert isinstance(accepted, CallAccepted)
    assert isinstance(refused, CallRefused)
    assert (refused.kind, refused.ending) == (ErrorKind.INTERNAL, Ending.UNKNOWN)
    assert not server.closings.counts
    assert not server.running


async def test_node_that_closes_its_forward_is_told_apart(
    autojump_clock: MockClock,
) -> None:
    async def wait(*_: object) -> None:
        await trio.sleep_forever()

    server = build_server(wait)
    with capture_logs() as lines:
        await server.serve(cast(ForwardChannel, ScriptedChannel(open_s=1.0)), PEER)
    found = [line for line in lines if line["event"] == "closed_without_status"]
    assert [(line["call"], line["reason"]) for line in found] == [
        ("q-1", "caller_left")
    ]
    assert server.closings.counts == {"caller_left": 1}


async def test_call_that_is_not_read_in_time_is_told_that_it_did_not_run(
    autojump_clock: MockClock,
) -> None:
    """Guards against an unread call that its first node counts as lost."""

    class SilentChannel(ScriptedChannel):
        async def receive(self) -> ForwardMessage:
            await trio.sleep_forever()
            raise AssertionError

    channel = SilentChannel()
    server = await serve(None, channel)
    (refused,) = channel.sent
    assert isinstance(refused, CallRefused)
    assert refused.ending is Ending.NOT_RUN
    assert (server.received, server.refused) == (0, 1)
