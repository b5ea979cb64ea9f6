"""One HTTP request and the means to answer it, apart from how they are served."""

from __future__ import annotations

from urllib.parse import parse_qsl, unquote, urlsplit

import h11
import msgspec
import trio

from toucanyard_node.socket_io import send

Headers = tuple[tuple[str, str], ...]


class HttpRequest(msgspec.Struct, frozen=True):
    """One whole request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: str = ""
    """Path and query as they came."""
    fields: Headers = ()
    """All headers in their order, with names as they came."""


class CallerGoneError(Exception):
    """The other side closed its connection before its answer was whole."""


class TargetInvalidError(Exception):
    """A request's target is no path and no URL."""


class Responder:
    """Send one answer: `send` for a whole body, or `start`, `write` and `finish`.

    Invariant: at most one answer is started; a handler that returns without an
    answer, or inside one, makes the server close the connection, so that the other
    side can tell a cut answer from a whole one.
    """

    __slots__ = ("_connection", "_is_head_only", "_stream", "is_closing", "is_started")

    def __init__(
        self,
        connection: h11.Connection,
        stream: trio.abc.Stream,
        *,
        is_head_only: bool = False,
    ) -> None:
        """`is_head_only` leaves bodies out, as the answer to HEAD has to."""
        self._connection = connection
        self._stream = stream
        self._is_head_only = is_head_only
        self.is_started = False
        self.is_closing = False

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer in one write."""
        head = self._render_head(status, (*headers, ("Content-Length", str(len(body)))))
        data = self._render_chunk(body)
        tail = self._connection.send(h11.EndOfMessage()) or b""
        await self._send_data(head + data + tail)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        head = self._render_head(status, (*headers, ("Transfer-Encoding", "chunked")))
        await self._send_data(head)

    async def write(self, data: bytes) -> None:
        """Send one part of the body; blocks while the other side is slow."""
        await self._send_data(self._render_chunk(data))

    async def finish(self) -> None:
        """Mark the body as whole."""
        await self._send_data(self._connection.send(h11.EndOfMessage()) or b"")

    def close_after(self) -> None:
        """Ask the other side to close after this answer."""
        self.is_closing = True

    def _render_head(self, status: int, headers: Headers) -> bytes:
        if self.is_closing:
            headers = (*headers, ("Connection", "close"))
        # Endpoints' values are passed on and needn't be ASCII; the library takes text
        # in ASCII only.
        encoded = [
            (name.encode("ascii"), value.encode("latin-1", "replace"))
            for name, value in headers
        ]
        response = h11.Response(status_code=status, headers=encoded)
        self.is_started = True
        return self._connection.send(response) or b""

    def _render_chunk(self, data: bytes) -> bytes:
        if self._is_head_only:
            return b""
        return self._connection.send(h11.Data(data=data)) or b""

    async def _send_data(self, data: bytes) -> None:
        try:
            await send(self._stream, data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError from error


def parse_request(head: h11.Request, body: bytes) -> HttpRequest:
    """Build a request from its head and body, or raise TargetInvalidError."""
    try:
        url = urlsplit(head.target.decode("ascii", "replace"))
    except ValueError as error:
        raise TargetInvalidError(str(error)) from error
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=unquote(url.path),
        query=dict(parse_qsl(url.query)),
        headers=headers,
        body=body,
        target=head.target.decode("ascii", "replace"),
        fields=tuple(
            (name.decode("ascii"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ),
    )
