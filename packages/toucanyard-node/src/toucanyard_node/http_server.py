"""HTTP/1.1 server on trio and h11 with limits, keep-alive and disconnect detection.

The client server, the operator server and the stand-ins each pass a handler. This
module does not depend on what they serve.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Final

import h11
import msgspec
import structlog
import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import RequestId
from toucanyard.requests import Refuse
from toucanyard_node.closings import CloseReason, Closings, OpenRequest
from toucanyard_node.held_bytes import (
    ByteBound,
    ByteBoundError,
    HeldBytes,
    HeldMessage,
)
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
_UNBOUNDED: Final = 2**62
_MIN_PARTS: Final = 1_000
"""Parts that a body of any size may come in."""
_MIN_MEAN_PART_BYTES: Final = 256
"""Mean size of further parts; each costs a parser call, however small it is."""
_PARTS_PER_TURN: Final = 64
_STOPPING_IDLE_TIMEOUT_MS: Final = 20
"""How long a stopping server still waits for a request on an open connection."""
_CONNECT_METHOD: Final = b"CONNECT"


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits that are applied before the handler receives a request."""

    max_connections: int = 2_000
    max_body_bytes: int = 4_000_000
    max_header_bytes: int = 32_768
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000
    write_timeout_ms: int = 30_000
    """How long the client may accept no data of a pending response."""
    is_pipelined: bool = True
    """Whether a client may send a request before the previous response."""
    busy_retry_ms: int = 1_000
    """When a client that is refused for lack of room should return."""
    has_exact_retry: bool = False
    """Whether clients parse fractions of a second in Retry-After."""


class Rejection(msgspec.Struct, frozen=True):
    """Why a request does not reach the handler."""

    kind: ErrorKind
    is_head_only: bool = False
    """A response must not have a body."""


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Accept connections on one listener and run the handler for each request."""

    __slots__ = (
        "_accept_scope",
        "_handler",
        "_held",
        "_idle_scopes",
        "_is_stopping",
        "_limits",
        "_numbers",
        "_open_connections",
        "_stopped",
        "closings",
    )

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        closings: Closings | None = None,
        held: HeldBytes | None = None,
    ) -> None:
        """`held` counts the bodies that are being read or served."""
        self._handler = handler
        self._held = held or HeldBytes(_UNBOUNDED)
        self._numbers = count(1)
        self.closings = closings or Closings()
        self._limits = limits
        self._open_connections = 0
        self._accept_scope = trio.CancelScope()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._is_stopping = False
        self._stopped = trio.Event()

    def apply_limits(self, limits: ServerLimits) -> None:
        """Apply new limits to subsequent connections and requests.

        A longer idle timeout applies to connections that are idle now, as their callers
        go by it; a shorter one does not, as they may not know it yet.
        """
        added_s = (limits.idle_timeout_ms - self._limits.idle_timeout_ms) / 1000
        self._limits = limits
        if added_s > 0:
            for scope in self._idle_scopes:
                scope.deadline += added_s

    async def serve(self, listener: trio.SocketListener) -> None:
        """Serve until stopped and all requests have been answered."""
        try:
            async with trio.open_nursery() as nursery:
                with self._accept_scope:
                    await trio.serve_listeners(
                        self._serve_stream,
                        [_OpenListener(listener)],
                        handler_nursery=nursery,
                    )
                # Closing the listener resets the connections in the kernel's accept
                # queue, with any requests on them. Their callers could not know whether
                # those ran.
                for stream in accept_pending(listener):
                    nursery.start_soon(self._serve_stream, stream)
                await trio.aclose_forcefully(listener)
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(listener)
            self._stopped.set()

    def stop(self) -> None:
        """Stop accepting and close idle connections; running requests finish."""
        self._is_stopping = True
        self._accept_scope.cancel()
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
            # Propagated, the error would end the server and all other connections.
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
            rejection = Rejection(ErrorKind.TOO_MANY_CONNECTIONS)
            await self._reject(connection, stream, rejection)
            return
        is_first = True
        sender = str(next(self._numbers))
        may_continue = True
        while may_continue:
            with self._held.open(sender, _UNBOUNDED) as message:
                may_continue = await self._serve_one(
                    connection, stream, is_first, message
                )
            is_first = False

    async def _serve_one(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        is_first: bool,
        message: HeldMessage,
    ) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            request = await self._read_request(connection, stream, is_first, message)
        except h11.RemoteProtocolError:
            request = Rejection(ErrorKind.BAD_REQUEST)
        if request is None:
            return False
        if isinstance(request, Rejection):
            await self._reject(connection, stream, request)
            return False
        is_head_only = request.method == "HEAD"
        responder = Responder(connection, stream, is_head_only=is_head_only)
        if self._is_stopping or self._has_trailing_input(connection):
            responder.close_after()
        await self._run_handler(request, responder, connection, stream)
        if connection.our_state is not h11.DONE:
            return False
        if connection.their_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        return True

    def _has_trailing_input(self, connection: h11.Connection) -> bool:
        """Return whether unexpected bytes follow a request.

        They may be a second request that was smuggled into the body of the first one.
        Closing the connection after the response ensures that they are never parsed.
        """
        return not self._limits.is_pipelined and bool(connection.trailing_data[0])

    async def _run_handler(
        self,
        request: HttpRequest,
        responder: Responder,
        connection: h11.Connection,
        stream: trio.SocketStream,
    ) -> None:
        """Run the handler and cancel it as soon as the client disconnects."""
        open_request = OpenRequest(request.path)
        reason: CloseReason = CloseReason.CANCELLED
        watch = _CallerWatch(connection, stream)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run, nursery.cancel_scope)
                reason = await self._run_guarded(request, responder)
                nursery.cancel_scope.cancel()
            if not (responder.is_started or responder.is_dropped or watch.has_left):
                await responder.refuse_failed(reason.value)
        finally:
            if not responder.is_started:
                open_request.call = responder.call
                if watch.has_left:
                    reason = CloseReason.CALLER_LEFT
                self.closings.record(open_request, reason, "handled")

    async def _run_guarded(
        self, request: HttpRequest, responder: Responder
    ) -> CloseReason:
        """Run the handler so that its failure ends only this connection.

        Return why there is no response, if there is none. An error that leaves the
        nursery is wrapped in an exception group, which the `except` clauses for single
        errors do not match. It would end the server and all its connections.
        """
        try:
            await self._handler(request, responder)
        except (CallerGoneError, trio.BrokenResourceError, trio.ClosedResourceError):
            responder.close_after()
            return CloseReason.HANDLER_FAILED
        except Exception:
            _LOG.exception("handler_failed", path=request.path)
            responder.close_after()
            return CloseReason.HANDLER_FAILED
        return CloseReason.NO_RESPONSE

    async def _read_request(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        is_first: bool,
        message: HeldMessage,
    ) -> HttpRequest | Rejection | None:
        limits = self._limits
        idle_ms = limits.header_timeout_ms if is_first else limits.idle_timeout_ms
        if not await self._receive_first_bytes(connection, stream, idle_ms):
            return None
        # Without this limit, a client that sends one byte a second would occupy its
        # connection forever. It applies from the first byte to the end of the body.
        with trio.move_on_after(limits.header_timeout_ms / 1000) as scope:
            return await self._read_message(connection, stream, message)
        assert scope.cancelled_caught
        return Rejection(ErrorKind.HEADERS_TOO_SLOW)

    async def _receive_first_bytes(
        self, connection: h11.Connection, stream: trio.SocketStream, idle_ms: int
    ) -> bool:
        """Wait for the first bytes of a request; return whether any arrived."""
        if connection.trailing_data[0]:
            return True
        data: bytes | None = None
        if not self._is_stopping:
            data = await self._receive_idle(stream, idle_ms)
        if data is None and self._is_stopping:
            # A request may have reached the kernel before the server stopped. Closing
            # now would reset it, and its caller could not know whether it ran.
            data = await self._receive_idle(stream, _STOPPING_IDLE_TIMEOUT_MS)
        if data is None:
            return False
        connection.receive_data(data)
        return bool(data)

    async def _receive_idle(
        self, stream: trio.SocketStream, idle_ms: int
    ) -> bytes | None:
        """Return received bytes; None after a timeout or when the server stops."""
        with trio.move_on_after(idle_ms / 1000) as scope:
            self._idle_scopes.add(scope)
            try:
                return bytes(await stream.receive_some(_READ_BYTES))
            finally:
                self._idle_scopes.discard(scope)
        return None

    async def _read_message(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        message: HeldMessage,
    ) -> HttpRequest | Rejection | None:
        head: h11.Request | None = None
        raw_head = bytearray(connection.trailing_data[0])
        body = _Body(message, self._limits.max_body_bytes)
        fault: ErrorKind | None = None
        while fault is None:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await self._receive(connection, stream)
                if head is None:
                    raw_head += data
            elif isinstance(event, h11.Request):
                head = event
                fault = self._check_head(event, bytes(raw_head))
                raw_head.clear()
            elif isinstance(event, h11.Data):
                fault = body.add(event.data)
                if body.is_turn_over():
                    await trio.lowlevel.checkpoint()
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                try:
                    return parse_request(head, bytes(body.data))
                except TargetInvalidError:
                    fault = ErrorKind.BAD_REQUEST
            else:
                return None
        return Rejection(fault, head is not None and head.method == b"HEAD")

    def _check_head(self, head: h11.Request, raw: bytes) -> ErrorKind | None:
        if has_ambiguous_framing(head, raw):
            return ErrorKind.BAD_REQUEST
        if head.method == _CONNECT_METHOD:
            return ErrorKind.METHOD_NOT_ALLOWED
        # h11 limits only incomplete heads, not one that is received at once.
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

    async def _reject(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        rejection: Rejection,
    ) -> None:
        # The request was not read, so it may have a key whose earlier attempt ran.
        kind = rejection.kind
        refusal = render_refusal(
            Refuse(
                RequestId(""),
                kind,
                Ending.UNKNOWN,
                kind.value,
                self._limits.busy_retry_ms,
            ),
            is_exact=self._limits.has_exact_retry,
        )
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        responder = Responder(connection, stream, is_head_only=rejection.is_head_only)
        responder.close_after()
        await responder.send(refusal.status, refusal.headers, refusal.body)
        await _discard_input(stream)


class _Body:
    """The body of a request while it is read; bounds its size and its parts."""

    __slots__ = ("_max_bytes", "_message", "_parts", "data")

    def __init__(self, message: HeldMessage, max_bytes: int) -> None:
        self._message = message
        self._max_bytes = max_bytes
        self._parts = 0
        self.data = bytearray()

    def add(self, data: bytes) -> ErrorKind | None:
        """Keep one part, or return the kind of the refusal."""
        self._parts += 1
        max_parts = _MIN_PARTS + self._max_bytes // _MIN_MEAN_PART_BYTES
        is_too_large = len(self.data) + len(data) > self._max_bytes
        if is_too_large or self._parts > max_parts:
            return ErrorKind.BODY_TOO_LARGE
        try:
            self._message.add(len(data))
        except ByteBoundError as error:
            if error.bound is ByteBound.SUM:
                return ErrorKind.OVERLOADED
            return ErrorKind.BODY_TOO_LARGE
        self.data += data
        return None

    def is_turn_over(self) -> bool:
        """Return whether other tasks should run before the next part is parsed."""
        return self._parts % _PARTS_PER_TURN == 0


class _OpenListener(trio.abc.Listener[trio.SocketStream]):
    """Listener that stays open when `serve_listeners` closes it."""

    def __init__(self, listener: trio.SocketListener) -> None:
        self._listener = listener

    async def accept(self) -> trio.SocketStream:
        """Return the next connection."""
        return await self._listener.accept()

    async def aclose(self) -> None:
        """Do nothing."""
        await trio.lowlevel.checkpoint()


def _set_user_timeout(stream: trio.SocketStream, timeout_ms: int) -> None:
    """Let the kernel end the connection if sent data stays unacknowledged.

    A caller that vanished without closing, or never reads, would otherwise occupy its
    handler, a stream of an engine and a connection slot forever. The kernel checks this
    at no cost per write, whereas a timer in this process costs more than the write.
    """
    if isinstance(stream, trio.SocketStream) and _USER_TIMEOUT is not None:
        stream.setsockopt(socket.IPPROTO_TCP, _USER_TIMEOUT, timeout_ms)


async def _discard_input(stream: trio.SocketStream) -> None:
    """Read and discard input for a short time before closing.

    Closing a socket with unread input resets the connection, and the reset can arrive
    before the response: the sender of an oversized body would see a reset, not a 413.
    """
    await stream.send_eof()
    with trio.move_on_after(0.25):
        while await stream.receive_some(_READ_BYTES):
            pass


class _CallerWatch:
    """Cancels a scope when the client disconnects; buffers pipelined input."""

    __slots__ = ("_connection", "_stream", "has_left")

    def __init__(self, connection: h11.Connection, stream: trio.SocketStream) -> None:
        self._connection = connection
        self._stream = stream
        self.has_left = False

    async def run(self, scope: trio.CancelScope) -> None:
        """Read until the client disconnects."""
        kept_bytes = 0
        while kept_bytes < _READ_BYTES:
            data = await self._receive()
            if not data:
                self.has_left = True
                scope.cancel()
                return
            kept_bytes += len(data)

    async def _receive(self) -> bytes:
        try:
            data = bytes(await self._stream.receive_some(_READ_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""
        self._connection.receive_data(data)
        return data


def has_ambiguous_framing(head: h11.Request, raw: bytes) -> bool:
    """Return whether another parser could find the end of this request elsewhere.

    h11 accepts lines that end in a bare line feed, and Content-Length together with
    Transfer-Encoding. A stricter server could parse a second request from within the
    body and execute it.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        return True
    end = raw.find(b"\r\n\r\n")
    lines = raw[: end + 2]
    return end < 0 or lines.count(b"\n") != lines.count(b"\r\n")


def _compute_head_bytes(head: h11.Request) -> int:
    """Return the approximate size of a request head in bytes."""
    headers = sum(len(name) + len(value) + 4 for name, value in head.headers)
    return len(head.target) + headers


def _find_content_length(head: h11.Request) -> int:
    """Return the declared size of the body, which h11 has validated."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


async def open_listener(host: str, port: int) -> trio.SocketListener:
    """Listen on an IP address and port; port 0 lets the kernel choose."""
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=1024)
    return listeners[0]


def find_port(listener: trio.SocketListener) -> int:
    """Return the port that a listener is bound to."""
    port = listener.socket.getsockname()[1]
    assert isinstance(port, int)
    return port
