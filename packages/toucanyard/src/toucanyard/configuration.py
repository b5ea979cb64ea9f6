"""What operators declare: customers, pools, endpoints, services and rules.

A Configuration is immutable and identified by its version number. The records and
patches that lead from one version to the next are in `configuration_log`.
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
    """Phases of a request that an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One customer: hashes of its callers' keys (SHA-256 in hexadecimal) and share."""

    name: CustomerName
    key_hashes: tuple[str, ...]
    weight: float = 1.0
    max_running: int = 0
    """Maximum number of requests in execution on one node; 0 means no limit."""


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One operator and the hashes of its keys (SHA-256 in hexadecimal)."""

    name: str
    key_hashes: tuple[str, ...]


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a pool or service."""

    name: EndpointName
    address: Address
    domain: DomainName
    checks_fence: bool = False


class PlacementPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Prices and limits for placement in one pool."""

    prefill_ms_per_block: float = 8.0
    """Time that an engine needs to compute one missing block of the prompt."""
    recompute_price: float = 8.0
    """Price of a millisecond of recomputation, relative to a millisecond of waiting."""
    candidates: int = 3
    """Number of replicas that serve one prefix while it is not hot."""
    max_running: int = 16
    """Requests in execution on one replica before further ones queue."""


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Replicas of one model and their desired state."""

    name: PoolName
    model: str
    weights_version: str
    endpoints: tuple[Endpoint, ...]
    adapters: tuple[str, ...] = ()
    role: Role = Role.BOTH
    placement: PlacementPolicy = PlacementPolicy()


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service and the calls to it that may be repeated.

    An entry of `repeatable_calls` is "METHOD /path-prefix". A call that no entry
    covers runs at most once, except GET and HEAD, which may always be repeated.
    """

    name: ServiceName
    endpoints: tuple[Endpoint, ...]
    repeatable_calls: tuple[str, ...] = ()
    max_running: int = 64


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Route requests for a model name, from some customers or all, to a pool."""

    model: str
    pool: PoolName
    customers: tuple[CustomerName, ...] = ()
    priority: PriorityClass = PriorityClass.CHAT


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted version; version 0 is the empty one that precedes any patch."""

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
        """Return the customer that has a key with this hash."""
        for customer in self.customers:
            if key_hash in customer.key_hashes:
                return customer
        return None

    def find_operator_by_hash(self, key_hash: str) -> Operator | None:
        """Return the operator that has a key with this hash."""
        for operator in self.operators:
            if key_hash in operator.key_hashes:
                return operator
        return None
