"""Start stand-ins in the test process and send requests to them."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import trio

from toucanyard.names import Address
from toucanyard_node.http_client import (
    Headers,
    HttpConnection,
    Response,
    connect,
    fetch,
)
from toucanyard_node.http_server import (
    open_listener,
)
from toucanyard_standins.engine_batch import CostModel
from toucanyard_standins.engine_server import serve_engine
from toucanyard_standins.engine_state import EngineOptions
from toucanyard_standins.plain_service import ServiceOptions, serve_plain_service
from toucanyard_standins.platform import PlatformOptions, serve_platform

T = TypeVar("T")

FAST = EngineOptions(
    name="e1",
    cost=CostModel(prefill_ms_per_block=0.1, decode_step_ms=0.1),
    event_delay_ms=0.0,
    load_lag_ms=1.0,
    load_weights_ms=1.0,
    heartbeat_ms=5,
)


async def start_engine(nursery: trio.Nursery, options: EngineOptions = FAST) -> Address:
    listener = await open_listener("127.0.0.1", 0)
    address: Address = await nursery.start(serve_engine, options, listener)
    return address


async def start_platform(
    nursery: trio.Nursery, options: PlatformOptions | None = None
) -> Address:
    listener = await open_listener("127.0.0.1", 0)
    given = options or PlatformOptions(vm_lag_ms=0.0)
    address: Address = await nursery.start(serve_platform, given, listener)
    return address


async def start_service(nursery: trio.Nursery) -> Address:
    listener = await open_listener("127.0.0.1", 0)
    options = ServiceOptions("s1", work_ms=0.0)
    address: Address = await nursery.start(serve_plain_service, options, listener)
    return address


async def post(
    address: Address, target: str, body: object, headers: Headers = ()
) -> Response:
    return await fetch(address, "POST", target, headers, msgspec.json.encode(body))


async def control(address: Address, fault: msgspec.Struct) -> None:
    answer = await post(address, "/control", fault)
    assert answer.status == 200, answer.body


async def read(address: Address, target: str, kind: type[T]) -> T:
    answer = await fetch(address, "GET", target)
    return msgspec.json.decode(answer.body, type=kind)


def completion(prompt: str, tokens: int = 3, stream: bool = False) -> dict[str, Any]:
    return {"model": "model", "prompt": prompt, "max_tokens": tokens, "stream": stream}


def read_text(answer: Response) -> str:
    text = msgspec.json.decode(answer.body)["choices"][0]["text"]
    assert isinstance(text, str)
    return text


async def open_stream(
    address: Address, request_id: str, prompt: str, tokens: int
) -> HttpConnection:
    connection = await connect(address, 1_000)
    body = msgspec.json.encode(completion(prompt, tokens, stream=True))
    headers = (("X-Request-Id", request_id),)
    await connection.send("POST", "/v1/completions", headers, body)
    await connection.read_head()
    return connection


async def open_resumed(address: Address, request_id: str, last: int) -> HttpConnection:
    connection = await connect(address, 1_000)
    headers = (("Last-Event-ID", str(last)),)
    await connection.send("GET", f"/v1/streams/{request_id}", headers)
    await connection.read_head()
    return connection
