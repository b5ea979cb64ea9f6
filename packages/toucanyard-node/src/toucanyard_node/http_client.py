"""Speak HTTP/1.1 to endpoints and platform over trio with h11.

One HttpConnection carries one request at a time. Who holds it decides whether it
may be used again: a connection on which an answer was abandoned never is, since the
late rest of that answer would be taken for the next one.
"""

from __future__ import annotations

import ipaddress
import math
import select
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

import h11
import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.socket_io import receive

_SEND_CHUNK_BYTES: Final = 65_536
"""What is sent at once; a connection that takes none in time has gone silent."""
_MAX_PORT: Final = 65_535
_NEEDS_DATA: Final = ((b"", False), (b"\r\n", False))
"""What h11 has unread after a chunk when neither another nor the end has come."""
MAX_BODY_BYTES: Final = 64_000_000

Headers = tuple[tuple[str, str], ...]


class ConnectionFailedError(Exception):
    """The connection could not be made or died; `is_sent` tells if bytes left.

    `is_closed` tells that the other side closed it before the answer was whole,
    `has_no_listener` that no process listens at the address.
    """

    def __init__(
        self,
        text: str,
        is_sent: bool,
        *,
        is_closed: bool = False,
        has_no_listener: bool = False,
    ) -> None:
        super().__init__(text)
        self.is_sent = is_sent
        self.is_closed = is_closed
        self.has_no_listener = has_no_listener


class BodyTooLargeError(ConnectionFailedError):
    """The other side sent more than this node takes in one answer."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    fields: Headers = ()
    """All headers in their order, with names as they came."""


class Response(msgspec.Struct, frozen=True):
    """One whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


def split_address(address: Address) -> tuple[str, int]:
    """Split "127.0.0.1:80" or "[::1]:80" into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_valid_address(address: Address) -> bool:
    """Tell whether an address is an IP number and a port that can be connected to."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT


class HttpConnection:
    """One connection to one address.

    Invariant: `is_reusable` is true only when the last answer was read to its end.
    """

    __slots__ = (
        "_connection",
        "_is_closed",
        "_has_unsent_body",
        "_parser_needs_data",
        "_pending_event",
        "_stream",
        "address",
        "opened_ms",
    )

    def __init__(
        self, address: Address, stream: trio.abc.Stream, opened_ms: float
    ) -> None:
        self.address = address
        self.opened_ms = opened_ms
        self._stream = stream
        self._pending_event: object = None
        self._parser_needs_data = False
        self._is_closed = False
        self._has_unsent_body = False
        self._connection = h11.Connection(h11.CLIENT)

    def is_reusable(self) -> bool:
        """Tell whether another request may be sent."""
        if self._pending_event is not None or self._has_unsent_body:
            return False
        states = (self._connection.our_state, self._connection.their_state)
        return states in ((h11.IDLE, h11.IDLE), (h11.DONE, h11.DONE))

    def is_quiet(self) -> bool:
        """Tell whether nothing waits to be read: neither an end nor a late answer."""
        if self._connection.trailing_data != (b"", False):
            return False
        if not isinstance(self._stream, trio.SocketStream):
            return True
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        stall_ms: float = math.inf,
    ) -> None:
        """Send one request, or raise ConnectionFailedError.

        `stall_ms` bounds how long the other side may take none of it.
        """
        all_headers = (("Content-Length", str(len(body))), *headers)
        if not any(name.lower() == "host" for name, _ in headers):
            all_headers = (("Host", self.address), *all_headers)
        data = self._render(method, target, all_headers, body)
        sent_bytes = await self._send_once(data)
        await self._send_remaining(data, sent_bytes, stall_ms)

    async def send_and_read_head(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> ResponseHead:
        """Send a request whose headers are whole and read its answer's head.

        An answer may come before all of a long body is sent, and the other side may
        then read no more of it: waiting to have sent everything would wait for ever.
        Such a connection is not used again, as the rest of the body is still due on it.
        """
        data = self._render(method, target, headers, body)
        sent_bytes = await self._send_once(data)
        if sent_bytes == len(data):
            return await self.read_head()
        self._has_unsent_body = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_remaining_in_background, data, sent_bytes)
            try:
                head = await self.read_head()
            except ConnectionFailedError as error:
                failure: ConnectionFailedError | None = error
            else:
                failure = None
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return head

    async def _send_remaining_in_background(self, data: bytes, sent_bytes: int) -> None:
        """Send what is left; a failure shows to whoever reads the answer."""
        with suppress(ConnectionFailedError):
            await self._send_remaining(data, sent_bytes, math.inf)
            self._has_unsent_body = False

    def _render(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        connection = self._connection
        if connection.our_state is h11.DONE:
            connection.start_next_cycle()
        encoded = [
            (name.encode("ascii"), value.encode("latin-1")) for name, value in headers
        ]
        head = h11.Request(method=method, target=target, headers=encoded)
        data = connection.send(head) or b""
        if body:
            data += connection.send(h11.Data(data=body)) or b""
        return data + (connection.send(h11.EndOfMessage()) or b"")

    async def _send_remaining(
        self, data: bytes, sent_bytes: int, stall_ms: float
    ) -> None:
        for begin in range(sent_bytes, len(data), _SEND_CHUNK_BYTES):
            chunk = memoryview(data)[begin : begin + _SEND_CHUNK_BYTES]
            await self._send_chunk(chunk, stall_ms)

    async def _send_chunk(self, chunk: memoryview, stall_ms: float) -> None:
        try:
            with trio.fail_after(stall_ms / 1000):
                await self._stream.send_all(chunk)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionFailedError(
                str(error), is_sent=True, is_closed=True
            ) from error
        except trio.TooSlowError as error:
            text = "the other side takes nothing"
            raise ConnectionFailedError(text, is_sent=True) from error

    async def _send_once(self, data: bytes) -> int:
        """Send the first bytes apart; return how many the kernel took.

        When the other side closed an idle connection, this first call fails and no
        byte was taken. That proves that the request did not run; a failure later
        proves nothing.
        """
        if not isinstance(self._stream, trio.SocketStream):
            return 0
        try:
            return await self._stream.socket.send(data)
        except OSError as error:
            raise ConnectionFailedError(str(error), is_sent=False) from error

    async def read_head(self) -> ResponseHead:
        """Read status and headers, or raise ConnectionFailedError."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionFailedError(
                    "closed before an answer", is_sent=True, is_closed=True
                )
            headers = {
                name.decode("ascii"): value.decode("latin-1")
                for name, value in event.headers
            }
            fields = tuple(
                (name.decode("ascii"), value.decode("latin-1"))
                for name, value in event.headers.raw_items()
            )
            return ResponseHead(event.status_code, headers, fields)

    async def read_body_chunk(self) -> bytes | None:
        """Read what has come of the body, in one piece; None at its end."""
        event = self._pending_event or await self._next_event()
        self._pending_event = None
        if not isinstance(event, h11.Data):
            if isinstance(event, h11.EndOfMessage):
                return None
            raise ConnectionFailedError(
                "closed inside an answer", is_sent=True, is_closed=True
            )
        chunks = [event.data]
        while not self._record_parser_state(event):
            event = self._parse()
            if event is h11.NEED_DATA:
                self._parser_needs_data = True
                break
            if not isinstance(event, h11.Data):
                self._pending_event = event
                break
            chunks.append(event.data)
        return bytes(chunks[0]) if len(chunks) == 1 else b"".join(chunks)

    def _record_parser_state(self, event: h11.Data) -> bool:
        """Tell whether h11 needs bytes after this event, and note it.

        It is asked twice for each token event otherwise, only to say so.
        """
        rest = self._connection.trailing_data
        self._parser_needs_data = event.chunk_end and rest in _NEEDS_DATA
        return self._parser_needs_data

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Read the rest of the body, or raise ConnectionFailedError.

        One over the limit is given up: whoever sends without end must not fill this
        node's memory.
        """
        body = bytearray()
        while (data := await self.read_body_chunk()) is not None:
            body += data
            if len(body) > max_bytes:
                raise BodyTooLargeError(f"found over {max_bytes} bytes", is_sent=True)
        return bytes(body)

    async def wait_for_close(self) -> bool:
        """Wait while no request is under way; return whether the other side closed."""
        return not await self._stream.receive_some(1)

    async def close(self) -> None:
        """Close at once."""
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self) -> object:
        while True:
            if not self._parser_needs_data:
                event = self._parse()
                if event is not h11.NEED_DATA:
                    return event
            try:
                data = await receive(self._stream)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise ConnectionFailedError(
                    str(error), is_sent=True, is_closed=True
                ) from error
            self._is_closed = not data
            self._connection.receive_data(data)
            self._parser_needs_data = False

    def _parse(self) -> object:
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionFailedError(
                str(error), is_sent=True, is_closed=self._is_closed
            ) from error


Connect = Callable[[Address, float], Awaitable[HttpConnection]]


async def connect(address: Address, timeout_ms: float) -> HttpConnection:
    """Open a connection, or raise ConnectionFailedError with nothing sent."""
    host, port = split_address(address)
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await _open_stream(host, port)
    except (OSError, OverflowError, trio.TooSlowError) as error:
        # A port over 65535, which a configuration may name, overflows: without being
        # caught it would end the task that watches this endpoint, and so the node.
        raise ConnectionFailedError(
            f"{address}: {error}",
            is_sent=False,
            has_no_listener=isinstance(error, ConnectionRefusedError),
        ) from error
    return HttpConnection(address, stream, trio.current_time() * 1000)


async def _open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IP number; there is no name to resolve and no address to race."""
    family = trio.socket.AF_INET6 if ":" in host else trio.socket.AF_INET
    socket = trio.socket.socket(family, trio.socket.SOCK_STREAM)
    try:
        await socket.connect((host, port))
    except BaseException:
        socket.close()
        raise
    return trio.SocketStream(socket)


async def fetch(
    address: Address,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    timeout_ms: float = 5_000,
    max_bytes: int = MAX_BODY_BYTES,
) -> Response:
    """Make one request on a connection of its own, or raise ConnectionFailedError."""
    connection = await connect(address, timeout_ms)
    try:
        with trio.fail_after(timeout_ms / 1000):
            await connection.send(method, target, headers, body)
            head = await connection.read_head()
            answer = await connection.read_body(max_bytes)
            return Response(head.status, head.headers, answer)
    except trio.TooSlowError as error:
        raise ConnectionFailedError(f"{address}: no answer", is_sent=True) from error
    finally:
        await connection.close()
