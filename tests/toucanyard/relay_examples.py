"""Build small inputs for tests of relayed calls."""

from __future__ import annotations

from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    NodeName,
    ReplicaId,
    RequestId,
    ServiceName,
)
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_options import RelayListen, RelayOptions
from toucanyard.relay_requests import Prompt, RelayRequest
from toucanyard.replicas import Replica
from toucanyard.requests import Repeatability
from toucanyard.routes import (
    EngineTraits,
    PromptStore,
    Route,
    RoutedCustomer,
    RoutedService,
    RouteTable,
    Split,
)

MODEL = "m"
ENGINES = ServiceName("engines")
DESK = ServiceName("desk")
TRAITS = EngineTraits(
    slots=128,
    memory_tokens=80_000,
    bytes_per_token=131_072,
    link_mbps=1_000_000.0,
    max_followers=12,
)
STORE = PromptStore(Address("10.9.0.1:1"), DomainName("d1"), 700_000, 260_000.0, 12)
LISTEN = RelayListen(
    callers=Address("10.0.0.1:1"),
    readiness=Address("10.0.0.1:2"),
    locator=Address("10.0.0.1:3"),
    peers=Address("10.0.0.1:4"),
    metrics=Address("10.0.0.1:5"),
)
OPTIONS = RelayOptions(
    name=NodeName("n1"),
    domain=DomainName("d1"),
    listen=LISTEN,
    store=Address("10.0.9.9:1"),
    peer_secret="s",
)


def build_route(name: str, prefix: str, **changes: object) -> Route:
    fields: dict[str, object] = {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "splits": (Split(DESK, 1.0),),
        "repeatability": Repeatability.REPEATABLE,
        "timeout_ms": 1_000,
        "target_ms": 200,
        "max_attempts": 2,
    }
    return Route(**(fields | changes))  # type: ignore[arg-type]


def build_table(version: int = 1, **changes: object) -> RouteTable:
    fields: dict[str, object] = {
        "version": version,
        "routes": (build_route("r", "/a/"),),
        "services": (RoutedService(ENGINES, 600, TRAITS), RoutedService(DESK, 100)),
        "stores": (STORE,),
        "customers": (RoutedCustomer(CustomerName("c"), ("key",)),),
    }
    return RouteTable(**(fields | changes))  # type: ignore[arg-type]


def build_replica(name: str, /, **changes: object) -> Replica:
    fields: dict[str, object] = {
        "name": EndpointName(name),
        "listed_as": ReplicaId(name),
        "service": ENGINES,
        "address": Address(f"10.1.0.{len(name)}:{sum(name.encode())}"),
        "domain": DomainName("d1"),
        "slots": 128,
        "is_draining": False,
        "weights": ((MODEL, 1),),
    }
    return Replica(**(fields | changes))  # type: ignore[arg-type]


def build_prompt(*parts: tuple[str, int]) -> Prompt:
    own = parts or (("book", 2_500), ("own", 500))
    return Prompt(MODEL, tuple(PromptBlock(name, tokens) for name, tokens in own), 20)


def build_request(request_id: str, **changes: object) -> RelayRequest:
    fields: dict[str, object] = {
        "request_id": RequestId(request_id),
        "caller_id": request_id,
        "customer": CustomerName("c"),
        "route": "r",
        "service": DESK,
        "repeatability": Repeatability.REPEATABLE,
        "is_stream": False,
        "is_resumable": False,
        "max_attempts": 2,
        "rank": 1,
        "target_ms": 200,
        "arrived_ms": 0.0,
        "deadline_ms": 1_000.0,
        "table_version": 1,
    }
    return RelayRequest(**(fields | changes))  # type: ignore[arg-type]
