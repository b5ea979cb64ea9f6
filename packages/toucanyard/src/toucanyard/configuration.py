"""What operators declare: customers, pools, endpoints, services and rules.

A Configuration is a value: it is never changed in place, and its version number
tells two of them apart. Records and patches that lead from one version to the next
are in `configuration_log`.
"""

from __future__ import annotations

import enum

import msgspec

from toucanyard.names import (
    Address,
    CustomerName,
    DomainName,
    EndpointName,
    PoolName,
    ServiceName,
)


class PriorityClass(enum.StrEnum):
    """Classes of requests, most urgent first."""

    CHAT = "chat"
    CHECK = "check"
    DRAFT = "draft"
    CALL = "call"


class Role(enum.StrEnum):
    """Which part of a request an engine takes."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer: its callers' keys, as SHA-256 in hexadecimal, and its share."""

    name: CustomerName
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    max_running: int = 0
    """Most requests in execution at once on one node; 0 sets no limit."""


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operator and its keys, as SHA-256 in hexadecimal."""

    name: str
    key_hashes: tuple[str, ...]


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a pool or service."""

    name: EndpointName
    address: Address
    domain: DomainName
    checks_fence: bool = False


class PlacementPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Prices and limits that steer placement in one pool."""

    prefill_ms_per_block: float = 8.0
    """Time an engine takes to compute one missing block of the prompt."""
    recompute_price: float = 8.0
    """Price of a recomputed millisecond beside a waited one."""
    candidates: int = 3
    """Replicas that one prefix is spread over while it is not hot."""
    max_running: int = 16
    """Requests in execution on one replica before others queue."""


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas of one model and what is desired of them."""

    name: PoolName
    model: str
    weights_version: str
    endpoints: tuple[Endpoint, ...]
    adapters: tuple[str, ...] = ()
    role: Role = Role.BOTH
    placement: PlacementPolicy = PlacementPolicy()


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service and which of its calls may be repeated.

    A call is "METHOD /path-prefix"; what no entry of `repeatable_calls` covers may
    run once only, except GET and HEAD, which may always be repeated.
    """

    name: ServiceName
    endpoints: tuple[Endpoint, ...]
    repeatable_calls: tuple[str, ...] = ()
    max_running: int = 64


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Send requests for a model name, of some customers or all, to a pool."""

    model: str
    pool: PoolName
    customers: tuple[CustomerName, ...] = ()
    priority: PriorityClass = PriorityClass.CHAT


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted version; version 0 is the empty one before any patch."""

    version: int = 0
    customers: tuple[Customer, ...] = ()
    operators: tuple[Operator, ...] = ()
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()

    def find_pool(self, name: PoolName) -> Pool | None:
        """Return the pool of that name."""
        return next((pool for pool in self.pools if pool.name == name), None)

    def find_service(self, name: ServiceName) -> Service | None:
        """Return the service of that name."""
        return next((each for each in self.services if each.name == name), None)

    def find_rule(self, model: str, customer: CustomerName) -> Rule | None:
        """Return the first rule that covers a model name and a customer."""
        for rule in self.rules:
            if rule.model != model:
                continue
            if not rule.customers or customer in rule.customers:
                return rule
        return None

    def find_customer_by_hash(self, key_hash: str) -> Customer | None:
        """Return the customer one of whose keys has this hash."""
        for customer in self.customers:
            if key_hash in customer.key_hashes:
                return customer
        return None

    def find_operator_by_hash(self, key_hash: str) -> Operator | None:
        """Return the operator one of whose keys has this hash."""
        for operator in self.operators:
            if key_hash in operator.key_hashes:
                return operator
        return None
