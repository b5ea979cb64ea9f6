"""Make HTTP requests whose response size and duration are bounded.

A message that is passed counts the bytes of the response as long as its owner keeps it
open.
"""

from __future__ import annotations

import trio

from toucanyard.names import Address
from toucanyard_node.held_bytes import HeldMessage
from toucanyard_node.http_client import (
    BodyTooLargeError,
    Connect,
    ConnectionFailedError,
    Headers,
    HttpConnection,
    RequestInvalidError,
    Response,
    ResponseHead,
    connect,
)


class OversizedBodyError(BodyTooLargeError):
    """A response with a valid head whose body exceeds a bound."""

    def __init__(self, head: ResponseHead, error: BodyTooLargeError) -> None:
        super().__init__(error.bound, error.received_bytes)
        self.head = head


async def exchange_bounded(
    connection: HttpConnection,
    method: str,
    target: str,
    max_bytes: int,
    headers: Headers = (),
    body: bytes = b"",
    message: HeldMessage | None = None,
) -> Response:
    """Make one request on an open connection, or raise ConnectionFailedError.

    OversizedBodyError is raised for a body over a bound.
    """
    try:
        await connection.send(method, target, headers, body)
    except RequestInvalidError as error:
        raise ConnectionFailedError(str(error), is_sent=False) from error
    head = await connection.read_head()
    try:
        received = await connection.read_body(max_bytes, message)
    except BodyTooLargeError as error:
        if message is not None and error.__cause__ is None:
            message.record_exceeded(error.bound)
        raise OversizedBodyError(head, error) from error
    return Response(head.status, head.headers, received, head.fields)


async def fetch_bounded(
    address: Address,
    target: str,
    timeout_ms: float,
    max_bytes: int,
    connect_to: Connect = connect,
) -> Response:
    """Make a GET request on a new connection, or raise ConnectionFailedError."""
    connection = await connect_to(address, timeout_ms)
    try:
        with trio.fail_after(timeout_ms / 1000):
            return await exchange_bounded(connection, "GET", target, max_bytes)
    except trio.TooSlowError as error:
        raise ConnectionFailedError(f"{address}: no answer", is_sent=True) from error
    finally:
        await connection.close()


async def fetch_counted(
    address: Address,
    method: str,
    target: str,
    message: HeldMessage | None,
    max_bytes: int,
    timeout_ms: float,
    headers: Headers = (),
    body: bytes = b"",
) -> Response:
    """Make one request on a new connection, or raise ConnectionFailedError.

    The time is bounded from the connect to the end of the body. OversizedBodyError is
    raised for a body over a bound.
    """
    connection: HttpConnection | None = None
    try:
        with trio.fail_after(timeout_ms / 1000):
            connection = await connect(address, timeout_ms)
            return await exchange_bounded(
                connection, method, target, max_bytes, headers, body, message
            )
    except trio.TooSlowError as error:
        is_sent = connection is not None
        raise ConnectionFailedError(f"{address}: no answer", is_sent) from error
    finally:
        if connection is not None:
            await connection.close()
