"""An HTTP request and the object that sends its response."""

from __future__ import annotations

from typing import Final, Protocol
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec
import trio

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import EndpointName, RequestId
from toucanyard.requests import Refuse
from toucanyard.stream_origins import StreamOrigin
from toucanyard_node.refusals import render_refusal
from toucanyard_node.socket_io import send

Headers = tuple[tuple[str, str], ...]
_GET: Final = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
_HEAD: Final = b"HEAD / HTTP/1.1\r\nHost: x\r\n\r\n"

JOINED_BYTES: Final = 65_536
"""Maximum size of a body that is sent in one write with its head."""


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""
    """Path and query as received."""
    fields: Headers = ()
    """All headers in their original order, with the original spelling of names."""


class CallerGoneError(Exception):
    """The client closed the connection before the response was complete."""


class TargetInvalidError(Exception):
    """The target of a request is neither a path nor a URL."""


class CallResponder(Protocol):
    """Where the handler of a call sends its response."""

    is_started: bool
    """Whether part of the response was sent."""
    call: str
    """Id of the call, once it has one."""
    replica: EndpointName
    """The replica whose response is sent, which only peers are told."""

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        ...

    async def refuse(self, refusal: Refuse, *, is_exact: bool) -> None:
        """Send a refusal."""
        ...

    async def start(
        self, status: int, headers: Headers, origin: StreamOrigin | None = None
    ) -> None:
        """Send the head of a response whose body follows in parts.

        `origin` is where a stream begins, which only peers are told.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Send one part of the body."""
        ...

    async def finish(self) -> None:
        """Send the end of the body."""
        ...

    def close_after(self) -> None:
        """Close the connection after this response."""
        ...


class Responder:
    """Send one response: `send` for a complete body, or `start`, `write`, `finish`.

    Invariant: at most one response is started. If a handler returns before its response
    is complete, the server closes the connection, so that the client can recognize a
    truncated response; if it has sent nothing, the server refuses the request.
    """

    __slots__ = (
        "_connection",
        "_is_head_only",
        "_stream",
        "call",
        "is_closing",
        "is_dropped",
        "is_started",
        "replica",
    )

    def __init__(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        *,
        is_head_only: bool = False,
    ) -> None:
        """`is_head_only` omits the body, as required for a response to HEAD."""
        self._connection = connection
        self._stream = stream
        self._is_head_only = is_head_only
        self.call = ""
        self.replica = EndpointName("")
        self.is_dropped = False
        self.is_started = False
        self.is_closing = False

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response; a small one in one write, a large one uncopied."""
        head = self._render_head(status, (*headers, ("Content-Length", str(len(body)))))
        data = self._render_chunk(body)
        tail = self._connection.send(h11.EndOfMessage()) or b""
        if len(data) <= JOINED_BYTES:
            await self._send_data(head + data + tail)
            return
        # A joined copy of a large body would stay while the client reads it.
        for part in (head, data, tail):
            if part:
                await self._send_data(part)

    async def refuse(self, refusal: Refuse, *, is_exact: bool) -> None:
        """Send a refusal; `is_exact`: see `render_refusal`."""
        rendered = render_refusal(refusal, is_exact=is_exact)
        await self.send(rendered.status, rendered.headers, rendered.body)

    async def refuse_failed(self, text: str) -> None:
        """Refuse a request whose handler has sent nothing.

        It may have run, so the outcome is unknown. A response that could not be
        rendered leaves h11 in an error state, hence the new connection object.
        """
        self._connection = h11.Connection(h11.SERVER)
        self._connection.receive_data(_HEAD if self._is_head_only else _GET)
        self._connection.next_event()
        self.close_after()
        refusal = Refuse(
            RequestId(self.call), ErrorKind.INTERNAL, Ending.UNKNOWN, text, 0
        )
        await self.refuse(refusal, is_exact=False)

    async def start(
        self, status: int, headers: Headers, _: StreamOrigin | None = None
    ) -> None:
        """Send the head of a response whose body follows in chunks."""
        head = self._render_head(status, (*headers, ("Transfer-Encoding", "chunked")))
        await self._send_data(head)

    async def write(self, data: bytes) -> None:
        """Send one chunk of the body; blocks while the client reads slowly."""
        await self._send_data(self._render_chunk(data))

    async def finish(self) -> None:
        """Send the end of the body."""
        await self._send_data(self._connection.send(h11.EndOfMessage()) or b"")

    def close_after(self) -> None:
        """Close the connection after this response and announce it to the client."""
        self.is_closing = True

    def drop(self) -> None:
        """End the connection without a response, in place of a failed server."""
        self.is_dropped = True

    def _render_head(self, status: int, headers: Headers) -> bytes:
        if self.is_closing:
            headers = (*headers, ("Connection", "close"))
        # Header values forwarded from endpoints may contain characters outside ASCII,
        # and h11 accepts str values only in ASCII.
        encoded = [
            (name.encode("ascii"), value.encode("latin-1", "replace"))
            for name, value in headers
        ]
        response = h11.Response(status_code=status, headers=encoded)
        return self._connection.send(response) or b""

    def _render_chunk(self, data: bytes) -> bytes:
        if self._is_head_only:
            return b""
        return self._connection.send(h11.Data(data=data)) or b""

    async def _send_data(self, data: bytes) -> None:
        self.is_started = True
        try:
            await send(self._stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError from error


def parse_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Build a request from its head and body, or raise TargetInvalidError."""
    fields = tuple(
        (name.decode("ascii"), value.decode("latin-1"))
        for name, value in head.headers.raw_items()
    )
    target = head.target.decode("ascii", "replace")
    return build_request(head.method.decode("ascii"), target, fields, body)


def build_request(
    method: str, target: str, fields: Headers, body: bytes
) -> HttpRequest:
    """Build a request from its parts, or raise TargetInvalidError."""
    try:
        url = urlsplit(target)
    except ValueError as error:
        raise TargetInvalidError(str(error)) from error
    return HttpRequest(
        method=method,
        path=unquote(url.path),
        query=dict(parse_qsl(url.query)),
        headers={name.lower(): value for name, value in fields},
        body=body,
        target=target,
        fields=fields,
    )
