"""Example requests, pools and configurations for tests of placement and admission."""

from __future__ import annotations

from typing import Final

from toucanyard.configuration import (
    Configuration,
    Customer,
    Endpoint,
    PlacementPolicy,
    Pool,
    PriorityClass,
)
from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    PoolName,
    RequestId,
)
from toucanyard.requests import ModelTarget, Repeatability, Request

POOL: Final = PoolName("model-pool")
CUSTOMERS: Final = tuple(CustomerName(name) for name in ("large", "small", "other"))


def make_pool(count: int, policy: PlacementPolicy | None = None) -> Pool:
    endpoints = tuple(
        Endpoint(
            EndpointName(f"e{number}"),
            Address(f"127.0.0.1:{9000 + number}"),
            DomainName("sala-norte"),
        )
        for number in range(count)
    )
    return Pool(POOL, "m", "w1", endpoints, placement=policy or PlacementPolicy())


def make_configuration(count: int, max_running: int = 4) -> Configuration:
    policy = PlacementPolicy(max_running=max_running)
    customers = tuple(Customer(name, ()) for name in CUSTOMERS)
    return Configuration(1, customers, pools=(make_pool(count, policy),))


def make_request(
    number: int,
    chain: tuple[int, ...] = (),
    customer: CustomerName = CUSTOMERS[0],
    priority: PriorityClass = PriorityClass.CHAT,
    arrived_ms: float = 0.0,
    deadline_ms: float = 1e9,
) -> Request:
    target = ModelTarget(POOL, "m", "", "w1", chain, len(chain) * 256, 64)
    return Request(
        RequestId(f"r{number}"),
        customer,
        priority,
        target,
        Repeatability.REPEATABLE,
        arrived_ms,
        deadline_ms,
        1,
    )
