"""Know where calls go: hosts and path prefixes, splits over services, and limits.

A RouteTable is a value, as operators publish it whole; a newer version replaces it.
RouteIndex answers what each call asks of it without going over all routes.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from toucanyard.names import Address, CustomerName, DomainName, ServiceName
from toucanyard.rate_limits import RateLimit
from toucanyard.requests import Repeatability


class Split(msgspec.Struct, frozen=True):
    """The share of a route's calls that goes to one service."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Calls of one host whose path begins with a prefix, and how to treat them."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    splits: tuple[Split, ...]
    repeatability: Repeatability
    timeout_ms: int
    target_ms: int
    max_attempts: int
    """Most replicas that one call may be sent to."""
    rank: int = 0
    """0 is the most urgent."""
    is_public: bool = False
    is_stream: bool = False
    is_resumable: bool = False
    max_gap_ms: int = 0
    """Longest pause between two events of a stream that is on time; 0: no bound."""


class EngineTraits(msgspec.Struct, frozen=True):
    """What every replica of a model's service can hold."""

    slots: int
    memory_tokens: int
    bytes_per_token: int
    link_mbps: float
    max_followers: int
    """Calls for cache events that a replica answers at once, over all nodes."""


class RoutedService(msgspec.Struct, frozen=True):
    """A service that routes name; `engine` is set where it runs a model."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


class PromptStore(msgspec.Struct, frozen=True):
    """A store beside the replicas that keeps read parts of prompts."""

    address: Address
    domain: DomainName
    memory_tokens: int
    link_mbps: float
    max_followers: int


class CallBounds(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutedCustomer(msgspec.Struct, frozen=True):
    """A customer with its keys as callers send them."""

    name: CustomerName
    keys: tuple[str, ...]
    rank: int | None = None
    """Goes before the rank of a route."""
    is_isolated: bool = False
    """Shares no cached part of a prompt with another customer."""
    limit: RateLimit | None = None
    """What it may send over all nodes; None if there is no limit."""


class RouteTable(msgspec.Struct, frozen=True):
    """One version of all routes; version 0 is the empty one before any is known."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    stores: tuple[PromptStore, ...] = ()
    customers: tuple[RoutedCustomer, ...] = ()
    bounds: CallBounds = CallBounds()


class RouteIndex:
    """Look up routes, services and customers of one table.

    Invariant: of the routes that cover a path, the one with the longest prefix wins.
    """

    __slots__ = ("_by_host", "_by_key", "_limits", "_services", "table")

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._by_key = {key: each for each in table.customers for key in each.keys}
        self._services = {each.name: each for each in table.services}
        self._limits = {
            each.name: each.limit for each in table.customers if each.limit is not None
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a call; `host` may carry a port."""
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        for prefix in _list_prefixes(path):
            route = routes.get(prefix)
            if route is not None:
                return route
        return None

    def find_customer(self, key: str) -> RoutedCustomer | None:
        """Return the customer that holds a key."""
        return self._by_key.get(key)

    def find_service(self, name: ServiceName) -> RoutedService | None:
        """Return a service by its name."""
        return self._services.get(name)

    def find_limit(self, name: CustomerName) -> RateLimit | None:
        """Return what a customer may send; None if it has no limit."""
        return self._limits.get(name)

    def list_limits(self) -> dict[CustomerName, RateLimit]:
        """Return the limits of all customers that have one."""
        return dict(self._limits)

    def has_customers(self) -> bool:
        """Tell whether calls have to bring a key."""
        return bool(self.table.customers)


def choose_service(route: Route, rng: random.Random) -> ServiceName | None:
    """Return the service of one call, by the weights of its route's split."""
    weights = [max(split.weight, 0.0) for split in route.splits]
    if not sum(weights):
        return None
    return rng.choices(route.splits, weights)[0].service


def _list_prefixes(path: str) -> Iterator[str]:
    """Return every prefix of a path that ends with a slash, the longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
