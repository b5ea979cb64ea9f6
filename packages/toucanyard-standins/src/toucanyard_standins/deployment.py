"""Start a small deployment: platform, engines, plain services and nodes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.configuration import (
    Customer,
    Endpoint,
    Operator,
    PlacementPolicy,
    Pool,
    Rule,
    Service,
)
from toucanyard.configuration_records import encode_patch
from toucanyard.names import (
    CustomerName,
    DomainName,
    EndpointName,
    PoolName,
    ServiceName,
)
from toucanyard.options import Options
from toucanyard.patches import Patch, Put
from toucanyard_standins.harness import Harness, hash_key, wait_until_serving
from toucanyard_standins.processes import ProcessHandle

DOMAINS: Final = ("sala-norte", "sala-centro", "sala-sur")
CUSTOMER_KEYS: Final = {"ferry": "key-of-ferry", "clinic": "key-of-clinic"}
OPERATOR_KEY: Final = "key-of-operator"
CALLER_KEY: Final = CUSTOMER_KEYS["ferry"]
MODEL: Final = "model"
WEIGHTS_VERSION: Final = "w1"
POOL: Final = "model-pool"
SERVICE: Final = "booking-app"


class DeploymentSizes(msgspec.Struct, frozen=True):
    """The number of processes of each kind, and their settings."""

    nodes: int = 1
    engines: int = 3
    services: int = 1
    engine_arguments: tuple[str, ...] = ()
    platform_arguments: tuple[str, ...] = ("--vm-lag-ms", "50")
    placement: PlacementPolicy = PlacementPolicy()
    options: Options | None = None
    """Settings of the nodes, except names, addresses and platform."""
    profile_directory: str = ""
    """Where each node writes its profile on a planned stop; empty for none."""


class Deployment(msgspec.Struct, frozen=True):
    """The processes of one deployment."""

    platform: ProcessHandle
    engines: tuple[ProcessHandle, ...]
    services: tuple[ProcessHandle, ...]
    nodes: tuple[ProcessHandle, ...]


async def start_deployment(harness: Harness, sizes: DeploymentSizes) -> Deployment:
    """Start all processes, publish the first configuration and wait for the nodes."""
    platform = await harness.start_platform(*sizes.platform_arguments)
    engines = [
        await harness.start_engine(
            f"engine-{number}",
            find_domain(number),
            "--model",
            MODEL,
            "--weights-version",
            WEIGHTS_VERSION,
            *sizes.engine_arguments,
        )
        for number in range(sizes.engines)
    ]
    services = [
        await harness.start_service(f"{SERVICE}-{number}", find_domain(number))
        for number in range(sizes.services)
    ]
    await harness.publish(render_first_patch(engines, services, sizes.placement))
    nodes = [
        await harness.start_node(
            f"node-{number}",
            find_domain(number),
            sizes.options,
            sizes.profile_directory,
        )
        for number in range(sizes.nodes)
    ]
    for node in nodes:
        await wait_until_serving(node, CALLER_KEY)
    return Deployment(platform, tuple(engines), tuple(services), tuple(nodes))


def find_domain(number: int) -> DomainName:
    """Return the failure domain of the n-th process of a kind."""
    return DomainName(DOMAINS[number % len(DOMAINS)])


def render_first_patch(
    engines: list[ProcessHandle],
    services: list[ProcessHandle],
    placement: PlacementPolicy,
) -> str:
    """Return the log record that declares the whole deployment."""
    customers = tuple(
        Customer(CustomerName(name), (hash_key(key),))
        for name, key in CUSTOMER_KEYS.items()
    )
    pool = build_pool(engines, placement, WEIGHTS_VERSION)
    service = Service(ServiceName(SERVICE), list_endpoints(services))
    put = Put(
        customers=customers,
        operators=(Operator("operator", (hash_key(OPERATOR_KEY),)),),
        pools=(pool,),
        services=(service,),
        rules=(Rule(MODEL, PoolName(POOL)),),
    )
    return encode_patch(Patch("first", 0, "operator", put))


def build_pool(
    engines: Sequence[ProcessHandle], placement: PlacementPolicy, weights_version: str
) -> Pool:
    """Return the only pool of a deployment, with this desired weights version."""
    return Pool(
        name=PoolName(POOL),
        model=MODEL,
        weights_version=weights_version,
        endpoints=list_endpoints(engines),
        placement=placement,
    )


def list_endpoints(handles: Sequence[ProcessHandle]) -> tuple[Endpoint, ...]:
    """Return the endpoints of stand-in processes."""
    return tuple(
        Endpoint(EndpointName(handle.name), handle.address, find_domain(number))
        for number, handle in enumerate(handles)
    )
