"""Run the server for callers in the test process, with a scripted core."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from support.engines import ScriptedEngine
from support.network import MemoryNetwork
from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    Rule,
    Service,
)
from toucanyard.core_events import RequestTurnedAway
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    PoolName,
    RequestId,
    ServiceName,
)
from toucanyard.options import ListenOptions, Options, PlatformOptions, StreamLimits
from toucanyard.requests import (
    Dispatch,
    DispatchEnding,
    Outcome,
    Refuse,
    Replay,
    Request,
    Verdict,
)
from toucanyard_node.client_server import ClientServer, find_server_limits
from toucanyard_node.core_messages import (
    Abandon,
    CoreClient,
    CoreMessage,
    Decide,
    Report,
)
from toucanyard_node.credentials import compute_key_hash
from toucanyard_node.drain import DrainState
from toucanyard_node.http_client import (
    Connect,
    Headers,
    HttpConnection,
    Response,
    connect,
)
from toucanyard_node.http_server import (
    HttpServer,
    find_port,
    open_listener,
)
from toucanyard_node.locate_response import LocateResponse, NodeIdentity
from toucanyard_node.sse import get_text, read_chunk

KEY = "key-of-rio"
OTHER_KEY = "key-of-mar"
AUTHORIZED = (("Authorization", f"Bearer {KEY}"),)
ANY_PORT = Address("127.0.0.1:0")


def build_configuration(service_calls: tuple[str, ...] = ()) -> Configuration:
    """Return two customers, one pool and one service; cores choose the addresses."""
    any_endpoint = Endpoint(EndpointName("e0"), ANY_PORT, DomainName("d"))
    return Configuration(
        version=7,
        customers=(
            Customer(CustomerName("rio"), (compute_key_hash(KEY),)),
            Customer(CustomerName("mar"), (compute_key_hash(OTHER_KEY),)),
        ),
        pools=(Pool(PoolName("p"), "model", "w1", (any_endpoint,), adapters=("a",)),),
        services=(Service(ServiceName("desk"), (any_endpoint,), service_calls),),
        rules=(Rule("model", PoolName("p")),),
    )


def build_options(streams: StreamLimits | None = None) -> Options:
    """Return settings with arbitrary ports."""
    listen = ListenOptions(ANY_PORT, ANY_PORT, ANY_PORT)
    return Options(
        name=NodeName("n1"),
        domain=DomainName("d"),
        listen=listen,
        platform=PlatformOptions(ANY_PORT, ANY_PORT),
        peer_secrets=("secret",),
        streams=streams or StreamLimits(connect_timeout_ms=500),
    )


class ScriptedCore:
    """Return verdicts: each attempt goes to the next address of the script.

    A repeatable request that failed is sent to the next address; other requests get
    no further verdict. At the end of the script the last address is repeated.
    """

    def __init__(self, addresses: list[Address], silence_ms: float = 400) -> None:
        self.addresses = addresses
        self.silence_ms = silence_ms
        self.weights_versions: list[str] = []
        self.is_refusing = False
        self.refusal = ErrorKind.OVERLOADED
        self.is_waiting = False
        self.is_refusing_retries = False
        self.retries_run_once = False
        """Retry requests at other addresses although they may run only once."""
        self.replay: Replay | None = None
        self.requests: list[Request] = []
        self.outcomes: list[Outcome] = []
        self.abandoned: list[RequestId] = []
        self.rejections: list[RequestTurnedAway] = []
        self.configuration = build_configuration()
        self._attempts: dict[RequestId, int] = {}
        send, self._receive = trio.open_memory_channel[CoreMessage](1_000)
        self.client = CoreClient(send, lambda: self.configuration)

    async def run(self) -> None:
        """Process messages until cancelled."""
        async for message in self._receive:
            match message:
                case Decide(request, reply):
                    self.requests.append(request)
                    if not self.is_waiting:
                        reply.send_nowait(self._decide(request.request_id))
                case Report(outcome, reply):
                    self.outcomes.append(outcome)
                    reply.send_nowait(self._decide_next(outcome))
                case Abandon(request_id):
                    self.abandoned.append(request_id)
                case RequestTurnedAway():
                    self.rejections.append(message)

    def find_endings(self) -> list[DispatchEnding]:
        """Return the endings of all dispatches."""
        return [outcome.ending for outcome in self.outcomes]

    def _decide(self, request_id: RequestId) -> Verdict:
        if self.replay is not None:
            return self.replay
        if self.is_refusing:
            kind, ending = self.refusal, Ending.NOT_RUN
            return Refuse(request_id, kind, ending, "too much at once", 800)
        attempt = self._attempts.get(request_id, 0)
        self._attempts[request_id] = attempt + 1
        index = min(attempt, len(self.addresses) - 1)
        versions = self.weights_versions
        return Dispatch(
            request_id,
            EndpointName(f"e{index}"),
            self.addresses[index],
            attempt + 1,
            expected_incarnation=None,
            weights_version=versions[index] if versions else "w1",
            priority=3,
            silence_ms=self.silence_ms,
        )

    def _decide_next(self, outcome: Outcome) -> Verdict | None:
        if outcome.ending in (DispatchEnding.COMPLETED, DispatchEnding.CANCELLED):
            return None
        request = next(
            each for each in self.requests if each.request_id == outcome.request_id
        )
        is_not_run = outcome.ending in (DispatchEnding.NOT_SENT, DispatchEnding.REFUSED)
        if self.is_refusing_retries:
            kind, not_run = ErrorKind.OVERLOADED, Ending.NOT_RUN
            return Refuse(outcome.request_id, kind, not_run, "too much at once", 800)
        is_repeatable = request.repeatability == "repeatable" or self.retries_run_once
        if not is_repeatable and not is_not_run:
            return None
        if self._attempts[outcome.request_id] >= len(self.addresses):
            return None
        return self._decide(outcome.request_id)


class ClientServerHarness:
    """A running server for callers, with methods to send requests to it."""

    def __init__(
        self,
        core: ScriptedCore,
        options: Options,
        connect_engine: Connect = connect,
        connect_client: Connect = connect,
    ) -> None:
        self.address = ANY_PORT
        self.network: MemoryNetwork | None = None
        self.core = core
        self.drain = DrainState()
        self._connect = connect_client
        identity = NodeIdentity(NodeName("n1"), Incarnation("x7"))
        self.client_server = ClientServer(
            core.client, options, identity, self._locate, self.drain, connect_engine
        )
        self.server = HttpServer(self.client_server.handle, find_server_limits(options))

    def _locate(self, is_staying: bool) -> LocateResponse:
        node = NodeName("n2" if self.drain.is_draining() else "n1")
        return LocateResponse(node, self.address, 10_000, ())

    async def open(
        self, method: str, target: str, headers: Headers = AUTHORIZED, body: object = ""
    ) -> HttpConnection:
        """Send a request on a new connection."""
        connection = await self._connect(self.address, 1_000)
        data = msgspec.json.encode(body) if body else b""
        await connection.send(method, target, headers, data)
        return connection

    async def ask(
        self, method: str, target: str, headers: Headers = AUTHORIZED, body: object = ""
    ) -> Response:
        """Send one request and return the complete response."""
        connection = await self.open(method, target, headers, body)
        try:
            head = await connection.read_head()
            return Response(head.status, head.headers, await connection.read_body())
        finally:
            await connection.close()

    async def complete(
        self, is_stream: bool = True, headers: Headers = AUTHORIZED
    ) -> Response:
        """Request a completion."""
        body = build_completion(is_stream)
        return await self.ask("POST", "/v1/completions", headers, body)


def build_completion(is_stream: bool = True) -> dict[str, object]:
    """Return the body of a completion."""
    return {"model": "model", "prompt": "hola", "stream": is_stream}


@asynccontextmanager
async def run_client_server(
    core: ScriptedCore, options: Options | None = None
) -> AsyncIterator[ClientServerHarness]:
    """Run a server on a port chosen by the kernel."""
    served = ClientServerHarness(core, options or build_options())
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        served.address = Address(f"127.0.0.1:{find_port(listener)}")
        nursery.start_soon(core.run)
        await nursery.start(served.client_server.run)
        nursery.start_soon(served.server.serve, listener)
        yield served
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def run_client_server_in_memory(
    engines: list[ScriptedEngine], options: Options | None = None
) -> AsyncIterator[ClientServerHarness]:
    """Run a server and engines in memory; attempts go to the engines in order."""
    names = [Address(f"10.0.0.{index}:80") for index in range(len(engines))]
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)
        for name, engine in zip(names, engines, strict=True):
            network.serve(name, engine.handle)
        core = ScriptedCore(names)
        options = options or build_options()
        served = ClientServerHarness(core, options, network.connect, network.connect)
        served.address = Address("10.0.1.1:80")
        served.network = network
        served.server = network.serve(
            served.address, served.client_server.handle, find_server_limits(options)
        )
        nursery.start_soon(core.run)
        await nursery.start(served.client_server.run)
        yield served
        nursery.cancel_scope.cancel()


def read_numbers(body: bytes) -> list[int]:
    """Return the event ids in a body."""
    lines = body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def read_text(body: bytes) -> str:
    """Return the concatenated text of the events in a body."""
    lines = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    chunks = [read_chunk(line) for line in lines if b'"error"' not in line]
    return "".join(get_text(chunk) for chunk in chunks)
