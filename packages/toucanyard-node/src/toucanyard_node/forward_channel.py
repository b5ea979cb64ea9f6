"""Open and use the connection on which one call is forwarded to another node."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Final

import trio
import websockets.exceptions
from websockets.trio.client import connect as connect_websocket
from websockets.trio.connection import Connection

from toucanyard.cbor_messages import MessageInvalidError
from toucanyard.forwarded_calls import (
    FORWARD_PATH,
    MAX_FORWARD_BYTES,
    ForwardMessage,
    decode_forward_message,
    encode_forward_message,
)
from toucanyard.names import Address, NodeId, NodeName
from toucanyard_node.peer_handshake import HandshakeError, Side, authenticate_peer

FORWARD_VERSION: Final = 1_002
"""Version in the handshake. It differs from that of links between nodes, so that a node
without this protocol refuses the connection instead of taking it for a link. It grows
with each field that a node must not ignore."""
_CLOSE_TIMEOUT_S: Final = 0.2


class ForwardClosedError(Exception):
    """The connection failed, or the other node sent something unexpected."""


class ForwardChannel:
    """Messages of one forwarded call over an authenticated connection."""

    __slots__ = ("_socket",)

    def __init__(self, socket: Connection) -> None:
        self._socket = socket

    async def send(self, message: ForwardMessage) -> None:
        """Send one message, or raise ForwardClosedError."""
        try:
            await self._socket.send(encode_forward_message(message))
        except (OSError, websockets.exceptions.WebSocketException) as error:
            raise ForwardClosedError(str(error)) from error

    async def receive(self) -> ForwardMessage:
        """Return the next message, or raise ForwardClosedError."""
        try:
            data = await self._socket.recv()
            if isinstance(data, str):
                raise ForwardClosedError("received a text frame")
            return decode_forward_message(data)
        except (
            OSError,
            MessageInvalidError,
            websockets.exceptions.WebSocketException,
        ) as error:
            raise ForwardClosedError(str(error)[:200]) from error

    async def wait_closed(self) -> None:
        """Wait until the other node closes the connection."""
        while True:
            try:
                await self.receive()
            except ForwardClosedError:
                return


@asynccontextmanager
async def open_forward_channel(
    address: Address,
    peer: NodeName,
    identity: NodeId,
    secrets: Sequence[str],
    timeout_ms: float,
) -> AsyncIterator[ForwardChannel]:
    """Connect to a node, or raise ForwardClosedError with nothing sent."""
    scope = trio.CancelScope(deadline=trio.current_time() + timeout_ms / 1000)
    is_open = False
    try:
        with scope:
            async with connect_websocket(
                f"ws://{address}{FORWARD_PATH}",
                proxy=None,
                compression=None,
                max_size=MAX_FORWARD_BYTES,
                max_queue=4,
                open_timeout=timeout_ms / 1000,
                ping_interval=None,
                close_timeout=_CLOSE_TIMEOUT_S,
                user_agent_header=None,
            ) as socket:
                found = await authenticate_peer(
                    socket, Side.CLIENT, identity, secrets, FORWARD_VERSION
                )
                if found.node != peer:
                    raise ForwardClosedError(f"found {found.node} instead of {peer}")
                scope.deadline = float("inf")
                # The time may have ended while this task waited for its turn.
                is_open = not scope.cancel_called
                if is_open:
                    yield ForwardChannel(socket)
    except (
        OSError,
        TimeoutError,
        ValueError,
        HandshakeError,
        websockets.exceptions.WebSocketException,
    ) as error:
        raise ForwardClosedError(str(error)[:200]) from error
    if not is_open:
        raise ForwardClosedError(f"{address}: no connection within {timeout_ms:.0f} ms")
