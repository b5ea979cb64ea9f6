"""Maintain websocket links to other nodes and transfer messages over them.

Each link is owned by a reading and a writing task. A full queue drops messages, which
the protocol tolerates for every message. Both ends prove that they know a shared secret
before anything else is read.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Generic

import msgspec
import structlog
import trio
import websockets.exceptions
from websockets.trio.client import connect as connect_websocket
from websockets.trio.connection import Connection
from websockets.trio.server import ServerConnection, serve as serve_websockets

from toucanyard.cbor_messages import MessageInvalidError
from toucanyard.forwarded_calls import FORWARD_PATH, MAX_FORWARD_BYTES
from toucanyard.names import Address, NodeId, NodeName
from toucanyard.options import MembershipTimings
from toucanyard.vm_view import UNNAMED, Vm
from toucanyard_node.encoded_messages import EncodedMessageCache
from toucanyard_node.forward_channel import FORWARD_VERSION, ForwardChannel
from toucanyard_node.held_bytes import ByteBoundError, HeldBytes
from toucanyard_node.link_codec import Addressed, EventT, LinkCodec, MessageT
from toucanyard_node.peer_handshake import (
    PROTOCOL_VERSION,
    HandshakeError,
    Side,
    authenticate_peer,
)
from toucanyard_node.rate_limit import RateLimit

_LOG: Final = structlog.get_logger()
_HANDSHAKE_TIMEOUT_S: Final = 2.0
_DIAL_INTERVAL_S: Final = 0.25
"""Interval between checks of whom to dial while a wanted link is missing."""
_LINKED_INTERVAL_S: Final = 0.5
"""The same while no link is missing; a lost link triggers a check at once."""
_MIN_BACKOFF_S: Final = 0.5
_MAX_BACKOFF_S: Final = 5.0
_IDLE_TIMEOUT_DIGESTS: Final = 5
_QUEUE_SIZE: Final = 256
_MAX_HANDSHAKES: Final = 16
_MAX_FORWARD_HANDSHAKES: Final = 64
"""Counted by themselves, so that forwarded calls keep no node from linking."""
_LINKS_PER_PEER: Final = 4
_MESSAGES_PER_S: Final = 500
_BYTES_PER_S: Final = 1_000_000
_SEND_TIMEOUT_S: Final = 5.0
DEFAULT_MAX_HELD_BYTES: Final = 9_000_000


ServeForward = Callable[[ForwardChannel, NodeId], Awaitable[None]]
"""Serves the call on a connection that another node opened to forward it."""


class LinkCounts(msgspec.Struct):
    """Counters over all links since the process started."""

    sent_bytes: int = 0
    received_bytes: int = 0
    dropped: int = 0
    refused: int = 0
    malformed: int = 0


class _Link(msgspec.Struct, Generic[MessageT], eq=False):
    peer: NodeId
    is_dialed: bool
    queue: trio.MemorySendChannel[MessageT]
    scope: trio.CancelScope


class PeerLinks(Generic[MessageT, EventT]):
    """The links of this node.

    Invariants: there is at most one link per node name, and the total is bounded; each
    emitted message was received from the node and incarnation that it names.
    """

    def __init__(
        self,
        identity: NodeId,
        secrets: Sequence[str],
        timings: MembershipTimings,
        find_peers: Callable[[], Sequence[Vm]],
        emit: Callable[[EventT], Awaitable[None]],
        rng: random.Random,
        codec: LinkCodec[MessageT, EventT],
        serve_forward: ServeForward | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        self._held = held or HeldBytes(DEFAULT_MAX_HELD_BYTES)
        self._serve_forward = serve_forward
        self._identity = identity
        self._secrets = tuple(secrets)
        self._timings = timings
        self._find_peers = find_peers
        self._emit = emit
        self._rng = rng
        self._codec = codec
        self._links: dict[NodeName, _Link[MessageT]] = {}
        self._names_by_address: dict[Address, NodeName] = {}
        """Names of the nodes found at the addresses of peers without a known name."""
        self._dialing: set[str] = set()
        self._dial_after_s: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}
        self._handshakes = 0
        self._forwards = 0
        """Handshakes of connections that forward a call."""
        self._links_changed = trio.Event()
        self._encoded = EncodedMessageCache(codec.encode)
        self.counts = LinkCounts()

    async def run(
        self,
        listener: trio.SocketListener,
        outbox: trio.MemoryReceiveChannel[Addressed[MessageT]],
    ) -> None:
        """Accept and open links and transfer messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve, listener)
            nursery.start_soon(self._dial_all, nursery)
            async for message in outbox:
                self._send(message)

    def _send(self, message: Addressed[MessageT]) -> None:
        link = self._links.get(message.node)
        if link is None:
            self.counts.dropped += 1
            return
        try:
            link.queue.send_nowait(message.message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            # The peer reads too slowly. Waiting here would delay all other peers.
            self.counts.dropped += 1

    async def _serve(self, listener: trio.SocketListener) -> None:
        await serve_websockets(
            self._accept,
            listeners=[listener],
            compression=None,
            max_size=self._codec.max_bytes,
            max_queue=2,
            open_timeout=_HANDSHAKE_TIMEOUT_S,
            ping_interval=None,
            close_timeout=1,
            server_header=None,
        )

    async def _accept(self, socket: ServerConnection) -> None:
        request = socket.request
        if request is not None and request.path == FORWARD_PATH:
            await self._accept_forward(socket)
        else:
            await self._accept_link(socket)

    async def _accept_forward(self, socket: ServerConnection) -> None:
        if self._serve_forward is None or self._forwards >= _MAX_FORWARD_HANDSHAKES:
            self.counts.refused += 1
            await socket.aclose(1013)
            return
        self._forwards += 1
        socket.protocol.max_message_size = MAX_FORWARD_BYTES
        try:
            peer = await self._authenticate(socket, Side.SERVER, FORWARD_VERSION)
        finally:
            self._forwards -= 1
        if peer is not None:
            await self._serve_forward(ForwardChannel(socket), peer)

    async def _accept_link(self, socket: ServerConnection) -> None:
        limit = self._timings.max_peers * _LINKS_PER_PEER
        if self._handshakes >= _MAX_HANDSHAKES or len(self._links) >= limit:
            self.counts.refused += 1
            await socket.aclose(1013)
            return
        self._handshakes += 1
        try:
            peer = await self._authenticate(socket, Side.SERVER)
        finally:
            self._handshakes -= 1
        if peer is not None:
            await self._run_link(socket, peer, is_dialed=False)

    async def _dial_all(self, nursery: trio.Nursery) -> None:
        while True:
            now_s = trio.current_time()
            peers = self._find_peers()
            self._drop_stale_dials({vm.name for vm in peers})
            missing = [vm for vm in peers if self._is_missing(vm)]
            for vm in missing:
                is_due = now_s >= self._dial_after_s.get(vm.name, 0.0)
                if is_due and vm.name not in self._dialing:
                    self._dialing.add(vm.name)
                    nursery.start_soon(self._dial, vm)
            if missing:
                await trio.sleep(_DIAL_INTERVAL_S)
                continue
            self._links_changed = trio.Event()
            with trio.move_on_after(_LINKED_INTERVAL_S):
                await self._links_changed.wait()

    def _is_missing(self, vm: Vm) -> bool:
        name = self._names_by_address.get(vm.peers, vm.name)
        is_other = name != self._identity.node
        return bool(vm.peers) and is_other and name not in self._links

    def _drop_stale_dials(self, kept: set[str]) -> None:
        """Remove the state of nodes that are gone; VMs are replaced continually."""
        for name in set(self._dial_after_s) - kept:
            del self._dial_after_s[name]
            self._backoff_s.pop(name, None)

    async def _dial(self, vm: Vm) -> None:
        try:
            with trio.CancelScope() as scope:
                scope.deadline = trio.current_time() + _HANDSHAKE_TIMEOUT_S
                await self._connect(vm, scope)
        except (
            OSError,
            ValueError,
            websockets.exceptions.WebSocketException,
        ) as error:
            # An invalid address raises ValueError, which must not end other links.
            _LOG.debug("dial_failed", peer=vm.name, error=str(error)[:200])
        finally:
            self._dialing.discard(vm.name)
            backoff_s = self._backoff_s.get(vm.name, _MIN_BACKOFF_S)
            wait_s = backoff_s * self._rng.uniform(0.5, 1.0)
            self._dial_after_s[vm.name] = trio.current_time() + wait_s
            self._backoff_s[vm.name] = min(_MAX_BACKOFF_S, 2 * backoff_s)

    async def _connect(self, vm: Vm, scope: trio.CancelScope) -> None:
        async with connect_websocket(
            f"ws://{vm.peers}/",
            proxy=None,
            compression=None,
            max_size=self._codec.max_bytes,
            max_queue=2,
            open_timeout=_HANDSHAKE_TIMEOUT_S,
            ping_interval=None,
            close_timeout=1,
            user_agent_header=None,
        ) as socket:
            peer = await self._authenticate(socket, Side.CLIENT)
            scope.deadline = float("inf")
            if peer is None:
                return
            if vm.runs == UNNAMED:
                self._names_by_address[vm.peers] = peer.node
            elif peer.node != vm.name:
                # The address was reassigned to another node after the list was read.
                _LOG.info("unexpected_peer", wanted=vm.name, found=peer.node)
                return
            self._backoff_s.pop(vm.name, None)
            await self._run_link(socket, peer, is_dialed=True)

    async def _authenticate(
        self, socket: Connection, side: Side, version: int = PROTOCOL_VERSION
    ) -> NodeId | None:
        try:
            with trio.fail_after(_HANDSHAKE_TIMEOUT_S):
                peer = await authenticate_peer(
                    socket, side, self._identity, self._secrets, version
                )
        except (
            HandshakeError,
            trio.TooSlowError,
            websockets.exceptions.ConnectionClosed,
        ) as error:
            self.counts.refused += 1
            _LOG.warning("peer_refused", error=str(error)[:200])
            await socket.aclose(1008)
            return None
        if peer.node == self._identity.node:
            await socket.aclose(1008)
            return None
        return peer

    async def _run_link(
        self, socket: Connection, peer: NodeId, *, is_dialed: bool
    ) -> None:
        queue, messages = trio.open_memory_channel[MessageT](_QUEUE_SIZE)
        link: _Link[MessageT] = _Link(peer, is_dialed, queue, trio.CancelScope())
        if not self._is_preferred(link):
            await socket.aclose(1000)
            return
        current = self._links.get(peer.node)
        if current is not None:
            current.scope.cancel()
        self._links[peer.node] = link
        await self._report_links()
        try:
            with link.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, socket, messages, nursery)
                    await self._read(socket, peer)
                    nursery.cancel_scope.cancel()
        except* (OSError, websockets.exceptions.WebSocketException):
            pass
        finally:
            if self._links.get(peer.node) is link:
                del self._links[peer.node]
                with trio.CancelScope(shield=True):
                    await self._report_links()

    def _is_preferred(self, link: _Link[MessageT]) -> bool:
        """Return whether a new link replaces the existing one to the same node.

        If two nodes dial each other at the same time, both keep the link dialed by the
        node with the lower name. A new incarnation, or another attempt by the same
        dialer, means that the old link is dead.
        """
        current = self._links.get(link.peer.node)
        if current is None or current.peer != link.peer:
            return True
        if current.is_dialed == link.is_dialed:
            return True
        return link.is_dialed == (self._identity.node < link.peer.node)

    async def _read(self, socket: Connection, peer: NodeId) -> None:
        limit = RateLimit(_MESSAGES_PER_S, _BYTES_PER_S, self._codec.max_bytes)
        idle_timeout_s = _IDLE_TIMEOUT_DIGESTS * self._timings.digest_interval_ms / 1000
        while True:
            # Peers send a digest in every interval. If none arrives, the network has
            # lost the state of the connection, which would otherwise stay open forever.
            with trio.move_on_after(idle_timeout_s) as idle_scope:
                data = await socket.recv()
            if idle_scope.cancelled_caught:
                _LOG.info("link_silent", peer=peer.node)
                return
            self.counts.received_bytes += len(data)
            try:
                if isinstance(data, str):
                    raise MessageInvalidError("received a text frame")
                with self._held.open(peer.node, self._codec.max_bytes) as held:
                    held.add(len(data))
                    message = self._codec.decode(data)
            except MessageInvalidError as error:
                self.counts.malformed += 1
                _LOG.warning("message_malformed", peer=peer.node, error=str(error)[:99])
                return
            except ByteBoundError as error:
                # The next status of the peer shows what this node then lacks.
                self.counts.dropped += 1
                _LOG.warning("message_over_bound", peer=peer.node, error=str(error))
            else:
                await self._emit(self._codec.build_read(peer, message))
            wait_s = limit.spend(len(data), trio.current_time())
            if wait_s > 0:
                await trio.sleep(wait_s)

    async def _write(
        self,
        socket: Connection,
        messages: trio.MemoryReceiveChannel[MessageT],
        nursery: trio.Nursery,
    ) -> None:
        async for message in messages:
            data = self._encoded.find(message)
            with trio.move_on_after(_SEND_TIMEOUT_S) as scope:
                await socket.send(data)
            if scope.cancelled_caught:
                nursery.cancel_scope.cancel()
            self.counts.sent_bytes += len(data)

    async def _report_links(self) -> None:
        self._links_changed.set()
        peers = tuple(link.peer for link in self._links.values())
        await self._emit(self._codec.build_linked(peers))
