"""Track at which services and software versions the streams of a route may have begun.

While this is a single one, it is the origin of every stream of the route, and nodes
exchange nothing. Versions are opaque words.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Sequence
from typing import Final, TypeVar

import msgspec

from toucanyard.link_messages import SoftwareVersionAge
from toucanyard.names import ServiceName, SoftwareVersion
from toucanyard.replicas import ReplicaDirectory
from toucanyard.routes import RouteTable
from toucanyard.stream_origins import StreamOrigin

K = TypeVar("K")
T = TypeVar("T")

MIN_MEMORY_MS: Final = 60_000.0
"""Shortest time for which origins count; a stream ends or is given up by then."""
TIMEOUT_FACTOR: Final = 2.0
"""Multiple of the longest timeout of a route: a stream may be taken up once after it
has used its time."""
MAX_REPORTED: Final = 64
"""Maximum number of versions reported to a peer, or taken from one report."""
FEW_REPLICAS: Final = 2
"""Number of replicas of a version up to which its room is kept for its own streams."""


class VersionRoom(msgspec.Struct, frozen=True):
    """Which software versions of a service are the worse beginning of a stream."""

    few: frozenset[SoftwareVersion] = frozenset()
    """Versions with few replicas, beside others with more."""
    fewer: frozenset[SoftwareVersion] = frozenset()
    """Versions that have lost replicas lately, beside others that have not."""


class SoftwareVersions:
    """The software versions of all services, now and lately, as one node sees them."""

    __slots__ = (
        "_counts",
        "_directory",
        "_former",
        "_recorded",
        "_recorded_ms",
        "_seen",
        "memory_ms",
    )

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._seen: dict[ServiceName, dict[SoftwareVersion, float]] = {}
        """When a replica of each version was listed last."""
        self._counts: dict[StreamOrigin, list[int]] = {}
        """How many replicas were listed at the last two refreshes."""
        self._former: dict[str, dict[ServiceName, float]] = {}
        """By route: when it led last to a service to which it no longer leads."""
        self._recorded: frozenset[StreamOrigin] = frozenset()
        """Origins that the store listed when it was last asked."""
        self._recorded_ms = float("-inf")
        self.memory_ms = MIN_MEMORY_MS

    def apply_routes(
        self, table: RouteTable, before: RouteTable, now_ms: float
    ) -> None:
        """Apply a configuration, remembering where its routes led before."""
        timeouts_ms = [each.timeout_ms for each in table.routes]
        longest_ms = TIMEOUT_FACTOR * max(timeouts_ms, default=0)
        self.memory_ms = max(MIN_MEMORY_MS, longest_ms)
        for route in before.routes:
            former = self._former.setdefault(route.name, {})
            former.update(dict.fromkeys(route.list_services(), now_ms))

    def record_listed(
        self, service: ServiceName, version: SoftwareVersion, seen_ms: float
    ) -> None:
        """Record that a replica of a version was listed at a time."""
        seen = self._seen.setdefault(service, {})
        seen[version] = max(seen.get(version, float("-inf")), seen_ms)

    def apply_recorded(self, origins: Collection[StreamOrigin], now_ms: float) -> None:
        """Apply the origins at which streams were begun according to the store."""
        self._recorded = frozenset(origins)
        self._recorded_ms = now_ms

    def is_recent(self, origin: StreamOrigin, now_ms: float) -> bool:
        """Return whether a replica of an origin has been listed lately."""
        seen_ms = self._seen.get(origin.service, {}).get(origin.software_version)
        return seen_ms is not None and seen_ms >= now_ms - self.memory_ms

    def refresh(self, now_ms: float) -> None:
        """Record all listed replicas, and drop what is older than any stream."""
        counts: dict[StreamOrigin, int] = {}
        for known in self._directory.list_all():
            replica, gone_ms = known.replica, known.gone_ms
            seen_ms = now_ms if gone_ms is None else gone_ms
            self.record_listed(replica.service, replica.software_version, seen_ms)
            if gone_ms is None:
                origin, is_staying = known.software_origin, not known.has_left()
                counts[origin] = counts.get(origin, 0) + is_staying
        self._counts = {
            origin: [*self._counts.get(origin, [])[-1:], count]
            for origin, count in counts.items()
        }
        oldest_ms = now_ms - self.memory_ms
        self._seen = _drop_older(self._seen, oldest_ms)
        self._former = _drop_older(self._former, oldest_ms)

    def count_remembered(self) -> int:
        """Return how many services and routes are remembered."""
        return len(self._seen) + len(self._former)

    def find_origins(
        self, route: str, services: Collection[ServiceName], now_ms: float
    ) -> set[StreamOrigin]:
        """Return all origins that a recent stream of a route may have."""
        oldest_ms = now_ms - self.memory_ms
        former = self._former.get(route, {})
        all_services = {
            *services,
            *(each for each, at_ms in former.items() if at_ms >= oldest_ms),
        }
        found = {
            StreamOrigin(service, version)
            for service in all_services
            for version, seen_ms in self._seen.get(service, {}).items()
            if seen_ms >= oldest_ms
        }
        if self._recorded_ms >= oldest_ms:
            found |= {each for each in self._recorded if each.service in all_services}
        return found

    def list_known(self, now_ms: float) -> list[SoftwareVersionAge]:
        """Return all versions that recent streams may have, for a peer that asks."""
        oldest_ms = now_ms - self.memory_ms
        ages_ms = {
            StreamOrigin(service, version): now_ms - seen_ms
            for service, versions in self._seen.items()
            for version, seen_ms in versions.items()
            if seen_ms >= oldest_ms
        }
        if self._recorded_ms >= oldest_ms:
            for each in self._recorded:
                ages_ms.setdefault(each, now_ms - self._recorded_ms)
        return [
            SoftwareVersionAge(origin.service, origin.software_version, age_ms)
            for origin, age_ms in ages_ms.items()
        ]

    def list_several(self, now_ms: float) -> Iterator[SoftwareVersionAge]:
        """Return the versions of services that lately had several, for peers."""
        oldest_ms = now_ms - self.memory_ms
        reported = 0
        for service, versions in self._seen.items():
            recent = _keep_since(versions, oldest_ms)
            if len(recent) < 2:
                continue
            for version, seen_ms in recent.items():
                reported += 1
                if reported <= MAX_REPORTED:
                    yield SoftwareVersionAge(service, version, now_ms - seen_ms)

    def apply_reported(
        self, received: Sequence[SoftwareVersionAge], now_ms: float
    ) -> None:
        """Apply the versions that a peer has seen."""
        for each in received[:MAX_REPORTED]:
            self.record_listed(
                each.service, each.software_version, now_ms - max(each.age_ms, 0.0)
            )

    def find_room(self, service: ServiceName, now_ms: float) -> VersionRoom | None:
        """Return which versions new streams should avoid; None if there is one.

        Replicas that load weights or back off for a while count: they stay.
        """
        if len(self._seen.get(service, ())) < 2:
            return None
        listed = self._directory.find_listed(service, now_ms)
        counts = Counter(each.replica.software_version for each in listed)
        if len(counts) < 2:
            return None
        few = {version for version, n in counts.items() if n <= FEW_REPLICAS}
        fewer = {
            version
            for version, n in counts.items()
            if n < max(self._counts.get(StreamOrigin(service, version), ()), default=0)
        }
        return VersionRoom(
            frozenset(few if len(few) < len(counts) else ()),
            frozenset(fewer if len(fewer) < len(counts) else ()),
        )


def _drop_older(
    seen: dict[K, dict[T, float]], oldest_ms: float
) -> dict[K, dict[T, float]]:
    kept = {key: _keep_since(each, oldest_ms) for key, each in seen.items()}
    return {key: each for key, each in kept.items() if each}


def _keep_since(seen: dict[T, float], oldest_ms: float) -> dict[T, float]:
    return {key: at_ms for key, at_ms in seen.items() if at_ms >= oldest_ms}
