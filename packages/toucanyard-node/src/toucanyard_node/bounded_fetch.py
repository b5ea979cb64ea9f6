"""Make HTTP requests whose response size and duration are bounded."""

from __future__ import annotations

import trio

from toucanyard.names import Address
from toucanyard_node.http_client import (
    Connect,
    ConnectionFailedError,
    Headers,
    HttpConnection,
    Response,
    connect,
)


async def exchange_bounded(
    connection: HttpConnection,
    method: str,
    target: str,
    max_bytes: int,
    headers: Headers = (),
    body: bytes = b"",
) -> Response:
    """Make one request on an open connection, or raise ConnectionFailedError."""
    await connection.send(method, target, headers, body)
    head = await connection.read_head()
    received = await connection.read_body(max_bytes)
    return Response(head.status, head.headers, received)


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
