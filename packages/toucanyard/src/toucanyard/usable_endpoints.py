"""Cache the usable endpoints of each pool, at a cost proportional to the unusable ones.

In a large pool nearly all endpoints are usable, and the set of unusable ones changes
rarely. So only suspects are checked, and a pool is scanned only when that set changes.
"""

from __future__ import annotations

from collections.abc import KeysView, Sequence
from typing import Final

from toucanyard.configuration import Endpoint
from toucanyard.names import Address, EndpointName

_MAX_POOLS: Final = 256


class UsablePool:
    """The endpoints of one pool, and those left when some are excluded.

    Invariant: `usable` is `endpoints` without those named in `unusable`, in order.
    """

    __slots__ = ("_by_address", "_names", "endpoints", "unusable", "usable")

    def __init__(self, endpoints: Sequence[Endpoint]) -> None:
        self.endpoints = endpoints
        self.usable = tuple(endpoints)
        self.unusable: set[EndpointName] = set()
        self._names = dict.fromkeys(each.name for each in endpoints)
        self._by_address: dict[Address, list[EndpointName]] = {}
        for each in endpoints:
            self._by_address.setdefault(each.address, []).append(each.name)

    @property
    def names(self) -> KeysView[EndpointName]:
        """Return the names of all endpoints."""
        return self._names.keys()

    @property
    def addresses(self) -> KeysView[Address]:
        """Return the addresses of all endpoints."""
        return self._by_address.keys()

    def find_at(self, addresses: set[Address]) -> set[EndpointName]:
        """Return the endpoints at some of the pool's addresses."""
        return {name for address in addresses for name in self._by_address[address]}

    def exclude(self, unusable: set[EndpointName]) -> Sequence[Endpoint]:
        """Return all endpoints except `unusable`; the same object for the same set."""
        if unusable != self.unusable:
            self.unusable = unusable
            self.usable = tuple(
                each for each in self.endpoints if each.name not in unusable
            )
        return self.usable


class UsablePools:
    """A cache of one UsablePool for each sequence of endpoints."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools: dict[int, UsablePool] = {}

    def get(self, endpoints: Sequence[Endpoint]) -> UsablePool:
        """Return the pool of a sequence, which must not be modified afterwards."""
        pool = self._pools.get(id(endpoints))
        if pool is not None and pool.endpoints is endpoints:
            return pool
        if len(self._pools) >= _MAX_POOLS:
            self._pools.clear()
        pool = self._pools[id(endpoints)] = UsablePool(endpoints)
        return pool
