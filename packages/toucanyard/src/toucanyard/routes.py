"""Route calls by host and path prefix, with splits over services and limits.

A RouteTable is an immutable value, published as a whole by operators and replaced by a
newer version. RouteIndex answers the lookups of each call without scanning all routes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec
import xxhash

from toucanyard.names import Address, CustomerName, DomainName, ServiceName
from toucanyard.rate_limits import RateLimit
from toucanyard.requests import Repeatability

ISOLATED_PREFIX: Final = "="
"""Begins the cache group of an isolated customer."""
SHARED_PREFIX: Final = "!"
"""Begins the cache group of all others, if any customer is isolated."""


class Split(msgspec.Struct, frozen=True):
    """The share of a route's calls that goes to one service."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A host and path prefix, and how to treat the calls that match them."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash."""
    splits: tuple[Split, ...]
    repeatability: Repeatability
    timeout_ms: int
    target_ms: int
    max_attempts: int
    """Maximum number of replicas that one call may be sent to."""
    rank: int = 0
    """0 is the highest priority."""
    is_public: bool = False
    is_stream: bool = False
    is_resumable: bool = False
    max_gap_ms: int = 0
    """Maximum time between two events of a stream that is on time; 0: unlimited."""

    def list_services(self) -> tuple[ServiceName, ...]:
        """Return the services that get its calls."""
        return tuple(each.service for each in self.splits if each.weight > 0)


class EngineTraits(msgspec.Struct, frozen=True):
    """Capacity of each replica of a model's service."""

    slots: int
    memory_tokens: int
    bytes_per_token: int
    link_mbps: float
    max_followers: int
    """Maximum number of event calls that a replica serves at once, over all nodes."""


class RoutedService(msgspec.Struct, frozen=True):
    """A service that routes refer to; `engine` is set if it runs a model."""

    name: ServiceName
    max_connections: int
    engine: EngineTraits | None = None


class PromptStore(msgspec.Struct, frozen=True):
    """A store beside the replicas that keeps prompt blocks they have read."""

    address: Address
    domain: DomainName
    memory_tokens: int
    link_mbps: float
    max_followers: int


class CallBounds(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's requests and on the caller's delays."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class RoutedCustomer(msgspec.Struct, frozen=True):
    """A customer with the keys that its callers send."""

    name: CustomerName
    keys: tuple[str, ...]
    rank: int | None = None
    """Overrides the rank of a route."""
    is_isolated: bool = False
    """Isolated: shares no cached prompt block with another customer."""
    limit: RateLimit | None = None
    """Rate limit over all nodes; None if unlimited."""


class RouteTable(msgspec.Struct, frozen=True):
    """One version of all routes; version 0 is the empty table before any is known."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    stores: tuple[PromptStore, ...] = ()
    customers: tuple[RoutedCustomer, ...] = ()
    bounds: CallBounds = CallBounds()


class RouteIndex:
    """Lookups of routes, services and customers of one table.

    Invariant: if several routes match a path, the one with the longest prefix wins.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "_by_name",
        "_limits",
        "_services",
        "_shared_cache_group",
        "table",
    )

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._by_key = {key: each for each in table.customers for key in each.keys}
        self._by_name = {each.name: each for each in table.customers}
        self._services = {each.name: each for each in table.services}
        self._shared_cache_group = _name_shared_group(table.customers)
        self._limits = {
            each.name: each.limit for each in table.customers if each.limit is not None
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a call; `host` may include a port."""
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

    def find_cache_group(self, name: CustomerName, *, is_confirmed: bool = True) -> str:
        """Return the group of calls that may share cached prompt blocks with a call.

        `name` is empty for a call without a customer. Unless the table is confirmed to
        be the newest, each customer may be isolated by now, as is one that it lacks.
        """
        if not name:
            return self._shared_cache_group
        customer = self._by_name.get(name)
        if customer is None or customer.is_isolated or not is_confirmed:
            return f"{ISOLATED_PREFIX}{name}"
        return self._shared_cache_group

    def find_service(self, name: ServiceName) -> RoutedService | None:
        """Return a service by its name."""
        return self._services.get(name)

    def find_limit(self, name: CustomerName) -> RateLimit | None:
        """Return the rate limit of a customer; None if it has none."""
        return self._limits.get(name)

    def list_limits(self) -> dict[CustomerName, RateLimit]:
        """Return the rate limits of all customers that have one."""
        return dict(self._limits)

    def has_customers(self) -> bool:
        """Return whether calls need a key."""
        return bool(self.table.customers)


def _name_shared_group(customers: Iterable[RoutedCustomer]) -> str:
    """Return the cache group of all customers that are not isolated.

    It depends on which ones are: blocks that a customer shared before it was isolated
    are in a group that is no longer used. Every node finds the same name from the
    table alone, also one that has started since.
    """
    isolated = sorted(each.name for each in customers if each.is_isolated)
    if not isolated:
        return ""
    return SHARED_PREFIX + xxhash.xxh3_128_hexdigest("\n".join(isolated).encode())


def choose_service(route: Route, rng: random.Random) -> ServiceName | None:
    """Return the service of one call, drawn by the weights of its route's split."""
    weights = [max(split.weight, 0.0) for split in route.splits]
    if not sum(weights):
        return None
    return rng.choices(route.splits, weights)[0].service


def _list_prefixes(path: str) -> Iterator[str]:
    """Return every prefix of a path that ends with a slash, longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
