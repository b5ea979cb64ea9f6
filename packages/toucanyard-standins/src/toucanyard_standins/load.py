"""Send OpenAI-compatible requests to an engine or a node and time them."""

from __future__ import annotations

import time
from typing import Final

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    HttpConnection,
    connect,
)

_CONNECT_TIMEOUT_MS: Final = 5_000
_PATH: Final = "/v1/completions"
_EVENT_MARK: Final = b"\ndata: {"
_DONE_MARK: Final = b"data: [DONE]"


class LoadError(Exception):
    """A request of a load had an unexpected response."""


class Target(msgspec.Struct, frozen=True):
    """The server that a load is sent to; an engine needs no key."""

    address: Address
    key: str = ""

    def build_headers(self) -> Headers:
        """Return the request headers, with the API key if there is one."""
        json_type = ("Content-Type", "application/json")
        if not self.key:
            return (json_type,)
        return (json_type, ("Authorization", f"Bearer {self.key}"))


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of one request."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool


class StreamTimes(msgspec.Struct, frozen=True):
    """The times and the number of events of one stream."""

    first_token_ms: float
    total_ms: float
    events: int


async def read_stream(
    connection: HttpConnection, target: Target, body: bytes
) -> StreamTimes:
    """Send one streamed request and read the stream to its end."""
    started_s = time.perf_counter()
    await connection.send("POST", _PATH, target.build_headers(), body)
    head = await connection.read_head()
    if head.status != 200:
        text = (await connection.read_body()).decode()
        raise LoadError(f"status {head.status}: {text}")
    first_s = 0.0
    events = 0
    tail = b""
    while (chunk := await connection.read_body_chunk()) is not None:
        # An event mark may span two chunks; marks in the tail are not counted twice.
        window = tail + chunk
        events += window.count(_EVENT_MARK) - tail.count(_EVENT_MARK)
        if events and not first_s:
            first_s = time.perf_counter()
        tail = window[-64:]
    if _DONE_MARK not in tail:
        raise LoadError("a stream ended without its last event")
    ended_s = time.perf_counter()
    first_ms, total_ms = (first_s - started_s) * 1000, (ended_s - started_s) * 1000
    return StreamTimes(first_ms, total_ms, events)


async def time_streams(
    targets: tuple[Target, ...], count: int, tokens: int
) -> tuple[list[StreamTimes], ...]:
    """Send streamed requests one at a time to each target in turn.

    The targets alternate so that other load on the machine affects all of them alike.
    """
    times: tuple[list[StreamTimes], ...] = tuple([] for _ in targets)
    connections = [await connect(each.address, _CONNECT_TIMEOUT_MS) for each in targets]
    for number in range(count):
        for index, target in enumerate(targets):
            prompt = f"light load, request {number} of target {index}"
            body = encode_completion(prompt, tokens, is_stream=True)
            times[index].append(await read_stream(connections[index], target, body))
    for connection in connections:
        await connection.close()
    return times


async def run_streams(target: Target, streams: int, tokens: int) -> list[StreamTimes]:
    """Read many streams concurrently to their ends."""
    times: list[StreamTimes] = []

    async def read_one_stream(number: int) -> None:
        connection = await connect(target.address, _CONNECT_TIMEOUT_MS)
        body = encode_completion(f"stream {number}", tokens, is_stream=True)
        times.append(await read_stream(connection, target, body))
        await connection.close()

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(read_one_stream, number)
    return times


async def run_short_requests(target: Target, count: int, connections: int) -> float:
    """Send plain requests on persistent connections; return the elapsed seconds."""
    started_s = time.perf_counter()
    requests_per_connection = count // connections

    async def run_connection(connection_number: int) -> None:
        connection = await connect(target.address, _CONNECT_TIMEOUT_MS)
        for number in range(requests_per_connection):
            prompt = f"short request {number} of lane {connection_number}"
            body = encode_completion(prompt, 1, is_stream=False)
            await connection.send("POST", _PATH, target.build_headers(), body)
            head = await connection.read_head()
            answer = await connection.read_body()
            if head.status != 200:
                raise LoadError(f"status {head.status}: {answer.decode()}")
        await connection.close()

    async with trio.open_nursery() as nursery:
        for connection_number in range(connections):
            nursery.start_soon(run_connection, connection_number)
    return time.perf_counter() - started_s


async def hold_streams(
    target: Target,
    streams: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Open very long streams and read their events until cancelled.

    Report as started when each stream has received a first chunk.
    """
    opened = 0

    async def hold_one(number: int) -> None:
        nonlocal opened
        connection = await connect(target.address, _CONNECT_TIMEOUT_MS)
        try:
            body = encode_completion(f"held {number}", 1_000_000, is_stream=True)
            await connection.send("POST", _PATH, target.build_headers(), body)
            head = await connection.read_head()
            if head.status != 200:
                raise LoadError(f"status {head.status}")
            await connection.read_body_chunk()
            opened += 1
            if opened == streams:
                task_status.started()
            while await connection.read_body_chunk() is not None:
                pass
        except ConnectionFailedError as error:
            raise LoadError(f"a held stream ended: {error}") from error
        finally:
            await connection.close()

    async with trio.open_nursery() as nursery:
        for number in range(streams):
            nursery.start_soon(hold_one, number)


def encode_completion(prompt: str, tokens: int, is_stream: bool) -> bytes:
    """Return the body of one request."""
    return msgspec.json.encode(CompletionBody("model", prompt, tokens, is_stream))
