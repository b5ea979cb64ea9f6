"""Serve a callers' face in the test's process, before a scripted core."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import msgspec
import trio

from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    Pool,
    Rule,
    Service,
)
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
from toucanyard.requests import Dispatch, EndingSeen, Outcome, Refuse, Request, Verdict
from toucanyard_node.callers_face import CallersFace, find_server_limits
from toucanyard_node.core_messages import (
    Abandon,
    CoreClient,
    CoreMessage,
    Decide,
    Report,
)
from toucanyard_node.credentials import compute_key_hash
from toucanyard_node.drain import DrainState
from toucanyard_node.http_server import HttpServer, find_port, open_listener
from toucanyard_node.locate_answer import LocateAnswer, NodeIdentity

KEY = "key-of-rio"
OTHER_KEY = "key-of-mar"
AUTHORIZED = (("Authorization", f"Bearer {KEY}"),)
ANYWHERE = Address("127.0.0.1:0")


def build_configuration(service_calls: tuple[str, ...] = ()) -> Configuration:
    """Return two customers, one pool and one service; addresses come from cores."""
    nowhere = Endpoint(EndpointName("e0"), ANYWHERE, DomainName("d"))
    return Configuration(
        version=7,
        customers=(
            Customer(CustomerName("rio"), (compute_key_hash(KEY),)),
            Customer(CustomerName("mar"), (compute_key_hash(OTHER_KEY),)),
        ),
        pools=(Pool(PoolName("p"), "model", "w1", (nowhere,), adapters=("a",)),),
        services=(Service(ServiceName("desk"), (nowhere,), service_calls),),
        rules=(Rule("model", PoolName("p")),),
    )


def build_options(streams: StreamLimits | None = None) -> Options:
    """Return settings that listen nowhere in particular."""
    listen = ListenOptions(ANYWHERE, ANYWHERE, ANYWHERE)
    return Options(
        name=NodeName("n1"),
        domain=DomainName("d"),
        listen=listen,
        platform=PlatformOptions(ANYWHERE, ANYWHERE),
        peer_secrets=("secret",),
        streams=streams or StreamLimits(connect_timeout_ms=500),
    )


class ScriptedCore:
    """Answer the face's questions: each try goes to the next address of the script.

    A repeatable request that failed is sent to the next address; any other one gets
    no further verdict. When the script is used up, the last address stays.
    """

    def __init__(self, addresses: list[Address], silence_ms: float = 400) -> None:
        self.addresses = addresses
        self.silence_ms = silence_ms
        self.weights_versions: list[str] = []
        self.is_refusing = False
        self.is_waiting = False
        self.requests: list[Request] = []
        self.outcomes: list[Outcome] = []
        self.abandoned: list[RequestId] = []
        self.configuration = build_configuration()
        self._attempts: dict[RequestId, int] = {}
        send, self._receive = trio.open_memory_channel[CoreMessage](1_000)
        self.client = CoreClient(send, lambda: self.configuration)

    async def run(self) -> None:
        """Answer until cancelled."""
        async for message in self._receive:
            match message:
                case Decide(request, reply):
                    self.requests.append(request)
                    if not self.is_waiting:
                        reply.send_nowait(self._decide(request.request_id))
                case Report(outcome, reply):
                    self.outcomes.append(outcome)
                    reply.send_nowait(self._follow(outcome))
                case Abandon(request_id):
                    self.abandoned.append(request_id)

    def find_endings(self) -> list[EndingSeen]:
        """Return how the dispatches ended."""
        return [outcome.ending for outcome in self.outcomes]

    def _decide(self, request_id: RequestId) -> Verdict:
        if self.is_refusing:
            kind, ending = ErrorKind.OVERLOADED, Ending.NOT_RUN
            return Refuse(request_id, kind, ending, "too much at once", 800)
        attempt = self._attempts.get(request_id, 0)
        self._attempts[request_id] = attempt + 1
        place = min(attempt, len(self.addresses) - 1)
        versions = self.weights_versions
        return Dispatch(
            request_id,
            EndpointName(f"e{place}"),
            self.addresses[place],
            attempt + 1,
            expected_incarnation=None,
            weights_version=versions[place] if versions else "w1",
            silence_ms=self.silence_ms,
        )

    def _follow(self, outcome: Outcome) -> Verdict | None:
        if outcome.ending in (EndingSeen.COMPLETED, EndingSeen.CANCELLED):
            return None
        request = next(
            each for each in self.requests if each.request_id == outcome.request_id
        )
        is_not_run = outcome.ending in (EndingSeen.NOT_SENT, EndingSeen.REFUSED)
        if request.repeatability != "repeatable" and not is_not_run:
            return None
        if self._attempts[outcome.request_id] >= len(self.addresses):
            return None
        return self._decide(outcome.request_id)


class ServedFace(msgspec.Struct):
    """A face that is being served."""

    address: Address
    core: ScriptedCore
    server: HttpServer
    face: CallersFace
    drain: DrainState


@asynccontextmanager
async def serve_face(
    core: ScriptedCore, options: Options | None = None
) -> AsyncIterator[ServedFace]:
    """Serve a face on a port that the kernel chose."""
    options = options or build_options()
    drain = DrainState()
    identity = NodeIdentity(NodeName("n1"), Incarnation("x7"))
    async with trio.open_nursery() as nursery:
        listener = await open_listener("127.0.0.1", 0)
        address = Address(f"127.0.0.1:{find_port(listener)}")
        locate = _build_locate(address, drain)
        face = CallersFace(core.client, options, identity, locate, drain)
        server = HttpServer(face.handle, find_server_limits(options))
        nursery.start_soon(core.run)
        await nursery.start(face.run)
        nursery.start_soon(server.serve, listener)
        yield ServedFace(address, core, server, face, drain)
        nursery.cancel_scope.cancel()


def _build_locate(address: Address, drain: DrainState) -> Callable[[], LocateAnswer]:
    def locate() -> LocateAnswer:
        node = NodeName("n2" if drain.is_draining() else "n1")
        return LocateAnswer(node, address, 10_000, ())

    return locate
