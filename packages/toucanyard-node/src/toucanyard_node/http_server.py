"""Serve HTTP/1.1 over trio with h11: limits, keep-alive and caller-gone detection.

The faces towards callers and operators, and the stand-ins, pass a handler; this
module knows nothing of what they answer.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Final

import h11
import msgspec
import structlog
import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import RequestId
from toucanyard.requests import Refuse
from toucanyard_node.http_exchange import (
    CallerGoneError,
    HttpRequest,
    Responder,
    TargetInvalidError,
    parse_request,
)
from toucanyard_node.refusals import render_refusal
from toucanyard_node.socket_io import accept_pending

_LOG: Final = structlog.get_logger()
_READ_BYTES: Final = 65_536
_USER_TIMEOUT: Final[int | None] = getattr(socket, "TCP_USER_TIMEOUT", None)
_RETRY_AFTER_MS: Final = 1_000
_STOPPING_IDLE_TIMEOUT_MS: Final = 20
"""How long a stopping server waits for a request on an open connection."""
_CONNECT_METHOD: Final = b"CONNECT"


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits that a server applies before its handler sees a request."""

    max_connections: int = 2_000
    max_body_bytes: int = 4_000_000
    max_header_bytes: int = 32_768
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000
    write_timeout_ms: int = 30_000
    """How long the other side may take nothing of an answer that waits for it."""
    is_pipelined: bool = True
    """Whether a request may come before the answer to the one before it."""


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accept connections on one listener and run the handler for each request."""

    __slots__ = (
        "_accept_scope",
        "_handler",
        "_idle_scopes",
        "_is_stopping",
        "_limits",
        "_listener",
        "_nursery",
        "_open_connections",
        "_stopped",
    )

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self._handler = handler
        self._limits = limits
        self._open_connections = 0
        self._accept_scope = trio.CancelScope()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._is_stopping = False
        self._stopped = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._listener: trio.SocketListener | None = None

    def apply_limits(self, limits: ServerLimits) -> None:
        """Serve what arrives from now on within these limits."""
        self._limits = limits

    async def serve(self, listener: trio.SocketListener) -> None:
        """Serve until stopped and the last request has its answer."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery, self._listener = nursery, listener
                with self._accept_scope:
                    await trio.serve_listeners(
                        self._serve_stream, [listener], handler_nursery=nursery
                    )
                await trio.aclose_forcefully(listener)
        finally:
            self._nursery, self._listener = None, None
            self._stopped.set()

    def stop(self) -> None:
        """Take no new connection and close idle ones; requests go on to their end."""
        self._is_stopping = True
        self._accept_scope.cancel()
        # Closing the listener resets what the kernel has connected already, with the
        # requests on it; their callers could not tell whether they ran.
        if self._nursery is not None and self._listener is not None:
            for stream in accept_pending(self._listener):
                self._nursery.start_soon(self._serve_stream, stream)
        for scope in self._idle_scopes:
            scope.cancel()

    async def wait_stopped(self) -> None:
        """Wait until `serve` has ended."""
        await self._stopped.wait()

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        self._open_connections += 1
        try:
            _set_user_timeout(stream, self._limits.write_timeout_ms)
            await self._serve_connection(stream)
        except (CallerGoneError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            # Out of here it would end the server and every other connection.
            _LOG.exception("connection_failed")
        finally:
            self._open_connections -= 1
            with trio.move_on_after(0.5) as scope:
                scope.shield = True
                await trio.aclose_forcefully(stream)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes
        )
        if self._open_connections > self._limits.max_connections:
            await self._refuse(connection, stream, ErrorKind.TOO_MANY_CONNECTIONS)
            return
        is_first = True
        while await self._serve_one(connection, stream, is_first):
            is_first = False

    async def _serve_one(
        self, connection: h11.Connection, stream: trio.SocketStream, is_first: bool
    ) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await self._read_request(connection, stream, is_first)
        except (h11.RemoteProtocolError, TargetInvalidError):
            await self._refuse(connection, stream, ErrorKind.BAD_REQUEST)
            return False
        if request is None:
            return False
        if isinstance(request, ErrorKind):
            await self._refuse(connection, stream, request)
            return False
        is_head_only = request.method == "HEAD"
        responder = Responder(connection, stream, is_head_only=is_head_only)
        if self._is_stopping or self._has_surplus(connection):
            responder.close_after()
        await self._run_handler(request, responder, connection, stream)
        if connection.our_state is not h11.DONE:
            return False
        if connection.their_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        return True

    def _has_surplus(self, connection: h11.Connection) -> bool:
        """Tell whether there is more behind a request than there should be.

        It may be a second request that someone smuggled into the body of the first.
        Closing after the answer makes sure that it is never read.
        """
        return not self._limits.is_pipelined and bool(connection.trailing_data[0])

    async def _run_handler(
        self,
        request: HttpRequest,
        responder: Responder,
        connection: h11.Connection,
        stream: trio.SocketStream,
    ) -> None:
        """Run the handler and cancel it as soon as the other side hangs up."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, connection, stream, nursery.cancel_scope
            )
            await self._run_guarded(request, responder)
            nursery.cancel_scope.cancel()

    async def _run_guarded(self, request: HttpRequest, responder: Responder) -> None:
        """Run the handler so that its failure ends this connection and no other.

        An error that left the nursery would come out of it as a group, pass the
        handlers of single errors, and end the server with every connection it holds.
        """
        try:
            await self._handler(request, responder)
        except (CallerGoneError, trio.BrokenResourceError, trio.ClosedResourceError):
            responder.close_after()
        except Exception:
            _LOG.exception("handler_failed", path=request.path)
            responder.close_after()

    async def _read_request(
        self, connection: h11.Connection, stream: trio.SocketStream, is_first: bool
    ) -> HttpRequest | ErrorKind | None:
        limits = self._limits
        idle_ms = limits.header_timeout_ms if is_first else limits.idle_timeout_ms
        if not await self._receive_first_bytes(connection, stream, idle_ms):
            return None
        # A sender of one byte a second would hold its connection for ever; the
        # bound counts from the first byte and covers head and body.
        with trio.move_on_after(limits.header_timeout_ms / 1000) as scope:
            return await self._read_message(connection, stream)
        assert scope.cancelled_caught
        return ErrorKind.HEADERS_TOO_SLOW

    async def _receive_first_bytes(
        self, connection: h11.Connection, stream: trio.SocketStream, idle_ms: int
    ) -> bool:
        """Wait for a request's first bytes; return whether any came."""
        if connection.trailing_data[0]:
            return True
        data: bytes | None = None
        if not self._is_stopping:
            data = await self._receive_idle(stream, idle_ms)
        if data is None and self._is_stopping:
            # A request may have reached the kernel before the stop did; closing now
            # would reset it, and its caller could not tell whether it ran.
            data = await self._receive_idle(stream, _STOPPING_IDLE_TIMEOUT_MS)
        if data is None:
            return False
        connection.receive_data(data)
        return bool(data)

    async def _receive_idle(
        self, stream: trio.SocketStream, idle_ms: int
    ) -> bytes | None:
        """Return what comes in time and before the server stops, else None."""
        with trio.move_on_after(idle_ms / 1000) as scope:
            self._idle_scopes.add(scope)
            try:
                return bytes(await stream.receive_some(_READ_BYTES))
            finally:
                self._idle_scopes.discard(scope)
        return None

    async def _read_message(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> HttpRequest | ErrorKind | None:
        head: h11.Request | None = None
        raw = bytearray(connection.trailing_data[0])
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                raw += await self._receive(connection, stream)
            elif isinstance(event, h11.Request):
                head = event
                fault = self._check_head(event, bytes(raw))
                if fault is not None:
                    return fault
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.max_body_bytes:
                    return ErrorKind.BODY_TOO_LARGE
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return parse_request(head, bytes(body))
            else:
                return None

    def _check_head(self, head: h11.Request, raw: bytes) -> ErrorKind | None:
        if has_ambiguous_framing(head, raw):
            return ErrorKind.BAD_REQUEST
        if head.method == _CONNECT_METHOD:
            return ErrorKind.METHOD_NOT_ALLOWED
        # h11 bounds what it has to wait for, not what came in one piece.
        if _compute_head_bytes(head) > self._limits.max_header_bytes:
            return ErrorKind.BAD_REQUEST
        if _find_content_length(head) > self._limits.max_body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        return None

    async def _receive(
        self, connection: h11.Connection, stream: trio.SocketStream
    ) -> bytes:
        if connection.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await stream.send_all(connection.send(interim) or b"")
        data = bytes(await stream.receive_some(_READ_BYTES))
        connection.receive_data(data)
        return data

    async def _refuse(
        self, connection: h11.Connection, stream: trio.SocketStream, kind: ErrorKind
    ) -> None:
        # The request was not read, so it may carry a key whose earlier try ran.
        refusal = render_refusal(
            Refuse(RequestId(""), kind, Ending.UNKNOWN, kind.value, _RETRY_AFTER_MS)
        )
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = Responder(connection, stream)
        responder.close_after()
        await responder.send(refusal.status, refusal.headers, refusal.body)
        await _discard_input(stream)


def _set_user_timeout(stream: trio.SocketStream, timeout_ms: int) -> None:
    """End the connection when what was sent stays unread or unacknowledged.

    A caller that is gone without a word, or never reads, would hold its handler, an
    engine's stream and a place for ever. The kernel watches for it at no cost to each
    write; a timer of our own for each would cost more than the write.
    """
    if isinstance(stream, trio.SocketStream) and _USER_TIMEOUT is not None:
        stream.setsockopt(socket.IPPROTO_TCP, _USER_TIMEOUT, timeout_ms)


async def _discard_input(stream: trio.SocketStream) -> None:
    """Read what is under way for a moment before closing.

    Closing with unread input resets the connection, and the reset can overtake the
    refusal: the sender of a body that is too large would see a reset, not a 413.
    """
    await stream.send_eof()
    with trio.move_on_after(0.25):
        while await stream.receive_some(_READ_BYTES):
            pass


async def _cancel_on_disconnect(
    connection: h11.Connection, stream: trio.SocketStream, scope: trio.CancelScope
) -> None:
    """Cancel the scope when the other side closes; keep what it sends early."""
    kept_bytes = 0
    while kept_bytes < _READ_BYTES:
        try:
            data = await stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()
            return
        connection.receive_data(data)
        if not data:
            scope.cancel()
            return
        kept_bytes += len(data)


def has_ambiguous_framing(head: h11.Request, raw: bytes) -> bool:
    """Tell whether another reader could see this request end elsewhere.

    The library takes lines that end in a bare line feed, and a length beside chunks. A
    reader that doesn't would find a second request inside the body, and run it.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return True
    end = raw.find(b"\r\n\r\n")
    lines = raw[: end + 2]
    return end < 0 or lines.count(b"\n") != lines.count(b"\r\n")


def _compute_head_bytes(head: h11.Request) -> int:
    """Return about how many bytes a request's head had."""
    headers = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.target) + headers


def _find_content_length(head: h11.Request) -> int:
    """Return the size that a request declares for its body; h11 has checked it."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


async def open_listener(host: str, port: int) -> trio.SocketListener:
    """Listen on one IP number and port; port 0 lets the kernel choose."""
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
    return listeners[0]


def find_port(listener: trio.SocketListener) -> int:
    """Return the port that a listener is bound to."""
    port = listener.socket.getsockname()[1]
    assert isinstance(port, int)
    return port
