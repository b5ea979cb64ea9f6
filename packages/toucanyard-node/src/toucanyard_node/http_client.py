"""HTTP/1.1 client for endpoints and the platform, based on trio and h11.

An HttpConnection carries one request at a time. Its owner decides whether to reuse it.
A connection on which a response was abandoned must not be reused, because the rest of
that response would be read as the next one.
"""

from __future__ import annotations

import ipaddress
import math
import select
from collections.abc import Awaitable, Callable
from typing import Final

import h11
import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.held_bytes import ByteBound, ByteBoundError, HeldMessage
from toucanyard_node.socket_io import receive

_SEND_CHUNK_BYTES: Final = 65_536
"""Size of one send; a connection that does not accept it in time is stalled."""
_MAX_PORT: Final = 65_535
_NEEDS_DATA: Final = ((b"", False), (b"\r\n", False))
"""Unread data in h11 after a chunk if neither the next chunk nor the end arrived."""
MAX_BODY_BYTES: Final = 8_000_000
"""Bound of a body whose reader states none."""
MAX_HEAD_BYTES: Final = 65_536
"""Bound of all informational responses before a response together."""
_MAX_INFORMATIONAL: Final = 64
_PARSED_BYTES: Final = 16_384
"""Maximum input of the parser at a time; it copies all of it for each chunk."""
_TURN_EVENTS: Final = 64
"""Parser events after which a reader yields to other tasks."""
_MIN_PART_BYTES: Final = 128
"""Size that a smaller part of a body counts as, for the work that it takes."""
_FREE_BYTES: Final = 65_536
"""Bodies up to this size may consist of parts of any size."""
_TOO_LONG: Final = 431
"""Status by which the parser reports a line or a head that is too long."""

Headers = tuple[tuple[str, str], ...]


class ConnectionFailedError(Exception):
    """The connection could not be opened or failed.

    `is_sent` says whether any bytes were sent, `is_closed` whether the other side
    closed the connection before the response was complete, and `has_no_listener`
    whether no process listens at the address.
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


class ResponseTooLargeError(ConnectionFailedError):
    """A response exceeds a bound of this node after so many bytes."""

    def __init__(self, bound: ByteBound, received_bytes: int) -> None:
        text = f"over the bound {bound.value} after {received_bytes} bytes"
        super().__init__(text, is_sent=True)
        self.bound = bound
        self.received_bytes = received_bytes


class BodyTooLargeError(ResponseTooLargeError):
    """The body of a response exceeds a bound of this node."""


class RequestInvalidError(ValueError):
    """A request has a header or target that can't be sent, wherever it goes."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response; header names are lower case."""

    status: int
    headers: dict[str, str]
    fields: Headers = ()
    """All headers in their original order, with the original spelling of names."""

    def is_framed(self) -> bool:
        """Return whether a length or chunks show where the body ends."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


class Response(msgspec.Struct, frozen=True):
    """One complete response."""

    status: int
    headers: dict[str, str]
    body: bytes
    fields: Headers = ()
    """All headers in their original order, with the original spelling of names."""


def split_address(address: Address) -> tuple[str, int]:
    """Split "127.0.0.1:80" or "[::1]:80" into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_valid_address(address: Address) -> bool:
    """Return whether an address consists of an IP address and a valid port."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= _MAX_PORT


class HttpConnection:
    """One connection to one address.

    Invariant: `is_reusable` is true only if the last response was read completely.
    """

    __slots__ = (
        "_announced_bytes",
        "_body",
        "_connection",
        "_has_unsent_body",
        "_informational_bytes",
        "_informational_count",
        "_is_closed",
        "_method",
        "_parser_needs_data",
        "_pending_event",
        "_send_failure",
        "_stream",
        "_turn_events",
        "_unparsed",
        "address",
        "body_bytes",
        "body_work_bytes",
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
        self._send_failure: ConnectionFailedError | None = None
        """Failure of the connection that a send beside the reader has met."""
        self._connection = h11.Connection(h11.CLIENT)
        self._unparsed = memoryview(b"")
        """Received bytes that the parser has not got."""
        self._turn_events = 0
        """Number of parser events since this reader has yielded."""
        self._method = ""
        self._informational_bytes = 0
        self._informational_count = 0
        self._announced_bytes = 0
        """Length of the body as its head states it."""
        self._body = bytearray()
        """What `read_body` has read of the current body."""
        self.body_bytes = 0
        """Size of the current body as far as it was read."""
        self.body_work_bytes = 0
        """The same, with small parts counted by the work that they take."""

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        if self._pending_event is not None or self._has_unsent_body:
            return False
        states = (self._connection.our_state, self._connection.their_state)
        return states in ((h11.IDLE, h11.IDLE), (h11.DONE, h11.DONE))

    def is_quiet(self) -> bool:
        """Return whether there is no unread input, neither EOF nor a late response."""
        if self._unparsed or self._connection.trailing_data != (b"", False):
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
        """Send one request, or raise ConnectionFailedError or RequestInvalidError.

        `stall_ms` bounds how long the other side may accept no data.
        """
        all_headers = (("Content-Length", str(len(body))), *headers)
        if not any(name.lower() == "host" for name, _ in headers):
            all_headers = (("Host", self.address), *all_headers)
        data = self._render(method, target, all_headers, body)
        sent_bytes = await self._send_once(data)
        await self._send_remaining(data, sent_bytes, stall_ms)

    async def send_and_read_head(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        read_head: Callable[[], Awaitable[ResponseHead]],
    ) -> ResponseHead:
        """Send a request with complete headers and read the head of its response.

        Raises ConnectionFailedError or RequestInvalidError.
        `read_head` calls the method of that name until it has returned.
        A response may arrive before a long body has been sent completely, and the other
        side may then stop reading, so waiting for the send to finish could block
        forever. Such a connection is not reused, because the rest of the body was not
        sent.
        """
        data = self._render(method, target, headers, body)
        sent_bytes = await self._send_once(data)
        if sent_bytes == len(data):
            return await read_head()
        self._has_unsent_body = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_remaining_in_background, data, sent_bytes)
            try:
                head = await read_head()
            except ConnectionFailedError as error:
                failure: ConnectionFailedError | None = error
            else:
                failure = None
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return head

    async def _send_remaining_in_background(self, data: bytes, sent_bytes: int) -> None:
        """Send the remaining bytes; the reader of the response sees any failure."""
        try:
            await self._send_remaining(data, sent_bytes, math.inf)
            self._has_unsent_body = False
        except ConnectionFailedError as error:
            if _is_broken(error):
                self._send_failure = error

    def _render(self, method: str, target: str, headers: Headers, body: bytes) -> bytes:
        connection = self._connection
        if connection.our_state is h11.DONE:
            connection.start_next_cycle()
        self._method = method
        self._informational_bytes = 0
        self._informational_count = 0
        self._body = bytearray()
        self.body_bytes = 0
        self.body_work_bytes = 0
        head = _build_request(method, target, headers)
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
        """Call `send` on the socket once; return how many bytes the kernel accepted.

        If the other side has closed an idle connection, this first call fails and no
        byte was accepted, which proves that the request did not run. A later failure
        proves nothing.
        """
        if not isinstance(self._stream, trio.SocketStream):
            return 0
        try:
            return await self._stream.socket.send(data)
        except OSError as error:
            raise ConnectionFailedError(str(error), is_sent=False) from error

    async def read_head(self) -> ResponseHead:
        """Read status and headers, or raise ConnectionFailedError.

        Informational responses are skipped, and bounded over all calls together: loses
        nothing if it is cancelled and called again.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                self._count_informational(event)
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
            head = ResponseHead(event.status_code, headers, fields)
            self._announced_bytes = _find_body_length(self._method, head)
            return head

    def _count_informational(self, event: h11.InformationalResponse) -> None:
        self._informational_count += 1
        self._informational_bytes += sum(
            len(name) + len(value) for name, value in event.headers
        )
        is_over = self._informational_count > _MAX_INFORMATIONAL
        if is_over or self._informational_bytes > MAX_HEAD_BYTES:
            raise ResponseTooLargeError(ByteBound.HEAD, self._informational_bytes)

    async def read_body_chunk(self) -> bytes | None:
        """Return the part of the body that has arrived; None at its end.

        Loses nothing if it is cancelled and called again.
        """
        event = self._pending_event or await self._next_event()
        self._pending_event = None
        if not isinstance(event, h11.Data):
            if isinstance(event, h11.EndOfMessage):
                return None
            raise ConnectionFailedError(
                "closed inside an answer", is_sent=True, is_closed=True
            )
        chunks = [event.data]
        self._count_part(event)
        while not self._record_parser_state(event) and self._has_turn():
            event = self._parse()
            if event is h11.NEED_DATA:
                self._parser_needs_data = True
                break
            if not isinstance(event, h11.Data):
                self._pending_event = event
                break
            chunks.append(event.data)
            self._count_part(event)
        return bytes(chunks[0]) if len(chunks) == 1 else b"".join(chunks)

    def _count_part(self, event: h11.Data) -> None:
        size_bytes = len(event.data)
        self.body_bytes += size_bytes
        self.body_work_bytes += max(size_bytes, _MIN_PART_BYTES)

    def _record_parser_state(self, event: h11.Data) -> bool:
        """Record and return whether h11 needs more input after this event.

        Otherwise h11 would be called twice per token event, just to report that.
        """
        rest = self._connection.trailing_data
        self._parser_needs_data = event.chunk_end and rest in _NEEDS_DATA
        return self._parser_needs_data

    async def read_body(
        self, max_bytes: int = MAX_BODY_BYTES, message: HeldMessage | None = None
    ) -> bytes:
        """Read the rest of the body, or raise ConnectionFailedError.

        BodyTooLargeError is raised before a larger body is read further, and if the
        body does not fit the sum that `message` counts for. What was read stays
        counted there. Loses nothing if it is cancelled and called again.
        """
        if self._announced_bytes > max_bytes:
            raise BodyTooLargeError(ByteBound.MESSAGE, self.body_bytes)
        while (data := await self.read_body_chunk()) is not None:
            is_over = self.body_bytes > max_bytes
            if is_over or self.body_work_bytes > max(max_bytes, _FREE_BYTES):
                raise BodyTooLargeError(ByteBound.MESSAGE, self.body_bytes)
            if message is not None:
                try:
                    message.add(len(data))
                except ByteBoundError as error:
                    raise BodyTooLargeError(error.bound, self.body_bytes) from error
            self._body += data
        body, self._body = bytes(self._body), bytearray()
        return body

    async def wait_for_close(self) -> bool:
        """Wait for input outside a request; return whether it was a close."""
        return not await self._stream.receive_some(1)

    async def close(self) -> None:
        """Close immediately."""
        await trio.aclose_forcefully(self._stream)

    async def _next_event(self) -> object:
        while True:
            if not self._has_turn():
                await trio.lowlevel.checkpoint()
                self._turn_events = 0
            if not self._parser_needs_data:
                event = self._parse()
                if event is not h11.NEED_DATA:
                    return event
            if not self._unparsed:
                await self._receive()
            part = self._unparsed[:_PARSED_BYTES]
            self._unparsed = self._unparsed[_PARSED_BYTES:]
            self._connection.receive_data(bytes(part))
            self._parser_needs_data = False

    async def _receive(self) -> None:
        try:
            data = await receive(self._stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionFailedError(
                str(error), is_sent=True, is_closed=True
            ) from error
        self._is_closed = not data
        if not data and self._send_failure is not None:
            # The kernel reports a reset once. After a send that has met it, reads find
            # no bytes, as they do after an orderly close.
            text = str(self._send_failure)
            raise ConnectionFailedError(
                text, is_sent=True, is_closed=True
            ) from self._send_failure
        self._unparsed = memoryview(data)
        self._turn_events = 0

    def _has_turn(self) -> bool:
        """Return whether this reader may parse more before it yields."""
        return self._turn_events < _TURN_EVENTS

    def _parse(self) -> object:
        self._turn_events += 1
        try:
            return self._connection.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _TOO_LONG:
                raise ResponseTooLargeError(
                    ByteBound.HEAD, len(self._connection.trailing_data[0])
                ) from error
            raise ConnectionFailedError(
                str(error), is_sent=True, is_closed=self._is_closed
            ) from error
        except ValueError as error:
            # Python converts no length of thousands of digits, which h11 accepts.
            raise ConnectionFailedError(str(error), is_sent=True) from error


def _build_request(method: str, target: str, headers: Headers) -> h11.Request:
    """Return a request's head, or raise RequestInvalidError."""
    try:
        encoded = [
            (name.encode("ascii"), value.encode("latin-1")) for name, value in headers
        ]
        return h11.Request(method=method, target=target, headers=encoded)
    except (UnicodeEncodeError, h11.LocalProtocolError) as error:
        raise RequestInvalidError(str(error)) from error


def _is_broken(error: ConnectionFailedError) -> bool:
    """Return whether a send failed other than by a close of the other side.

    Such a close, whose data is read up to its end, makes sends fail with EPIPE.
    """
    broken = error.__cause__
    cause = None if broken is None else broken.__cause__
    return isinstance(cause, OSError) and not isinstance(cause, BrokenPipeError)


def _find_body_length(method: str, head: ResponseHead) -> int:
    """Return the length of a body as its head states it; 0 without a length."""
    has_body = method != "HEAD" and head.status not in (204, 304)
    if not has_body or "transfer-encoding" in head.headers:
        return 0
    return int(head.headers.get("content-length", "0"))


Connect = Callable[[Address, float], Awaitable[HttpConnection]]


async def connect(address: Address, timeout_ms: float) -> HttpConnection:
    """Open a connection, or raise ConnectionFailedError with nothing sent."""
    host, port = split_address(address)
    try:
        with trio.fail_after(timeout_ms / 1000):
            stream = await _open_stream(host, port)
    except (OSError, OverflowError, trio.TooSlowError) as error:
        # A configuration may contain a port over 65535, which raises OverflowError.
        # Uncaught, it would end the task that watches this endpoint, and so the node.
        is_late = isinstance(error, trio.TooSlowError)
        reason = f"no connection within {timeout_ms:.0f} ms" if is_late else error
        raise ConnectionFailedError(
            f"{address}: {reason}",
            is_sent=False,
            has_no_listener=isinstance(error, ConnectionRefusedError),
        ) from error
    return HttpConnection(address, stream, trio.current_time() * 1000)


async def _open_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an IP address, without name resolution."""
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
    """Make one request on a new connection, or raise ConnectionFailedError."""
    connection = await connect(address, timeout_ms)
    try:
        with trio.fail_after(timeout_ms / 1000):
            await connection.send(method, target, headers, body)
            head = await connection.read_head()
            answer = await connection.read_body(max_bytes)
            return Response(head.status, head.headers, answer, head.fields)
    except RequestInvalidError as error:
        raise ConnectionFailedError(f"{address}: {error}", is_sent=False) from error
    except trio.TooSlowError as error:
        raise ConnectionFailedError(f"{address}: no answer", is_sent=True) from error
    finally:
        await connection.close()
