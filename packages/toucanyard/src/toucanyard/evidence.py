"""Hold the failure evidence on each endpoint, from this node and from other nodes.

Own evidence affects this node's decisions at once. Suspicions of other nodes count only
where this node has no recent answer, when several sources agree, and up to a limit.
"""

from __future__ import annotations

from collections.abc import Iterable, KeysView
from typing import Final

import msgspec

from toucanyard.detectors import ErrorRunDetector, SourceQuorum
from toucanyard.names import EndpointName, Incarnation, NodeName
from toucanyard.options import MembershipTimings

REFRESH_MS: Final = 10_000.0
"""Interval at which a lasting suspicion is gossiped again."""
_REPORT_TTL_MS: Final = 25_000.0
"""How long a source's report counts; longer than two refreshes."""
_SELF_SUSPECT_SHARE: Final = 0.5
_MIN_SELF_SUSPECT_FAILURES: Final = 3
_MAX_RETIRED: Final = 4
_NEVER: Final = float("-inf")


class _EndpointState(msgspec.Struct):
    """Evidence on one endpoint.

    `established_ms` is the last time at which `incarnation` is known to have been
    the endpoint's.
    """

    error_run: ErrorRunDetector
    sources: SourceQuorum
    incarnation: Incarnation | None = None
    retired: tuple[Incarnation, ...] = ()
    established_ms: float = _NEVER
    ok_ms: float = _NEVER
    error_ms: float = _NEVER
    reported_ms: float | None = None


class Evidence:
    """Evidence on the endpoints of the configuration in force.

    Invariants: only endpoints that `keep` named have an entry; gossip never restores an
    incarnation that was replaced; a node that suspects itself reports no endpoint.
    """

    def __init__(self, node: NodeName, timings: MembershipTimings) -> None:
        self._node = node
        self._timings = timings
        self._known: dict[EndpointName, _EndpointState] = {}
        self._tried: set[EndpointName] = set()
        self._failing: set[EndpointName] = set()
        self._suspected: set[EndpointName] = set()

    def keep(self, names: Iterable[EndpointName]) -> None:
        """Keep entries for these endpoints and no others."""
        kept = set(names)
        for name in set(self._known) - kept:
            del self._known[name]
        for name in kept - set(self._known):
            timings = self._timings
            self._known[name] = _EndpointState(
                ErrorRunDetector(timings.condemn_reports, timings.condemn_window_ms),
                SourceQuorum(timings.condemn_sources, _REPORT_TTL_MS),
            )
        self._tried &= kept
        self._failing &= kept
        self._suspected &= kept

    def find_incarnation(self, endpoint: EndpointName) -> Incarnation | None:
        """Return the latest known incarnation of an endpoint."""
        known = self._known.get(endpoint)
        return None if known is None else known.incarnation

    def has_suspicions(self) -> bool:
        """Return whether this node or any other suspects an endpoint."""
        return bool(self._failing or self._suspected)

    def is_avoided(self, endpoint: EndpointName, now_ms: float) -> bool:
        """Return whether this node's own errors exclude an endpoint."""
        if endpoint not in self._failing:
            return False
        known = self._known[endpoint]
        # A single error may be a coincidence; waiting for the next poll costs nothing
        # while other endpoints take the work. The suspicion expires by itself, since a
        # recovered endpoint that this node does not poll would never be tried again.
        suspicion_ms = self._timings.suspect_after_ms
        if known.error_run.is_suspect(now_ms):
            suspicion_ms = max(suspicion_ms, self._timings.condemn_window_ms)
        return now_ms - known.error_ms <= suspicion_ms

    def find_avoided(
        self, names: KeysView[EndpointName], now_ms: float
    ) -> set[EndpointName]:
        """Return the endpoints that this node's own errors exclude."""
        return {name for name in names & self._failing if self.is_avoided(name, now_ms)}

    def find_suspected(self, names: KeysView[EndpointName]) -> set[EndpointName]:
        """Return the endpoints that any node suspects."""
        return names & self._suspected

    def find_condemned(
        self, names: Iterable[EndpointName], size: int, now_ms: float
    ) -> set[EndpointName]:
        """Return the endpoints that others condemn and that do not answer this node.

        At most a share of `size`: more failures at once are more likely a network
        partition, and all work would go to the few endpoints that are left.
        """
        suspected: list[EndpointName] = []
        for name in names:
            known = self._known[name]
            is_silent = now_ms - known.ok_ms > self._timings.suspect_after_ms
            if is_silent and known.sources.is_condemned(now_ms):
                suspected.append(name)
        limit = max(1, int(self._timings.max_condemned_share * size))
        suspected.sort(key=lambda name: (self._known[name].ok_ms, name))
        return set(suspected[:limit])

    def find_all_condemned(self, now_ms: float) -> list[EndpointName]:
        """Return the endpoints that enough sources suspect."""
        return [
            name
            for name in sorted(self._suspected)
            if self._known[name].sources.is_condemned(now_ms)
        ]

    def is_self_suspect(self, now_ms: float) -> bool:
        """Return whether so many endpoints fail that this node is likely at fault."""
        if len(self._failing) < _MIN_SELF_SUSPECT_FAILURES:
            return False
        since_ms = now_ms - _REPORT_TTL_MS
        tried = sum(
            max(self._known[name].ok_ms, self._known[name].error_ms) > since_ms
            for name in self._tried
        )
        dead = sum(self._known[name].error_ms > since_ms for name in self._failing)
        return dead > _SELF_SUSPECT_SHARE * tried

    def record_success(self, endpoint: EndpointName, now_ms: float) -> bool:
        """Record an answer; return whether the recovery must be gossiped."""
        known = self._known.get(endpoint)
        if known is None:
            return False
        known.error_run.record_success(now_ms)
        known.ok_ms = now_ms
        self._tried.add(endpoint)
        self._failing.discard(endpoint)
        if known.reported_ms is None:
            return False
        known.reported_ms = None
        known.sources.withdraw(self._node)
        return True

    def record_error(self, endpoint: EndpointName, now_ms: float) -> None:
        """Record a failed attempt."""
        known = self._known.get(endpoint)
        if known is None:
            return
        known.error_run.record_error(now_ms)
        known.error_ms = now_ms
        self._tried.add(endpoint)
        self._failing.add(endpoint)

    def take_suspected(self, now_ms: float) -> list[EndpointName]:
        """Return the suspected endpoints that are due to be gossiped."""
        if not self._failing or self.is_self_suspect(now_ms):
            return []
        taken: list[EndpointName] = []
        for name in sorted(self._failing):
            known = self._known[name]
            is_recent = now_ms - known.error_ms <= self._timings.condemn_window_ms
            is_reported = (
                known.reported_ms is not None
                and now_ms - known.reported_ms < REFRESH_MS
            )
            if is_reported or not is_recent or not known.error_run.is_suspect(now_ms):
                continue
            known.reported_ms = now_ms
            self.record_suspicion(name, self._node, now_ms)
            taken.append(name)
        return taken

    def record_suspicion(
        self, endpoint: EndpointName, source: NodeName, at_ms: float
    ) -> None:
        """Record that a source suspects an endpoint."""
        known = self._known.get(endpoint)
        if known is not None:
            known.sources.record_report(source, at_ms)
            self._suspected.add(endpoint)

    def withdraw(self, endpoint: EndpointName, source: NodeName) -> None:
        """Record that a source no longer suspects an endpoint."""
        known = self._known.get(endpoint)
        if known is not None:
            known.sources.withdraw(source)

    def prune(self, now_ms: float) -> None:
        """Drop expired suspicions."""
        for name in list(self._suspected):
            if self._known[name].sources.prune(now_ms):
                self._suspected.discard(name)

    def learn_from_answer(
        self, endpoint: EndpointName, incarnation: Incarnation, asked_ms: float
    ) -> bool:
        """Apply the incarnation in an answer; return whether it has changed.

        An answer to a request sent before the current incarnation was established is
        ignored: it may come from a process that has exited since.
        """
        known = self._known.get(endpoint)
        if known is None or asked_ms < known.established_ms:
            return False
        known.established_ms = asked_ms
        return self._replace(known, incarnation)

    def learn_from_gossip(
        self, endpoint: EndpointName, incarnation: Incarnation, at_ms: float
    ) -> bool:
        """Apply an incarnation that a peer observed; return whether it has changed."""
        known = self._known.get(endpoint)
        if known is None or at_ms <= known.established_ms:
            return False
        if incarnation in known.retired:
            return False
        known.established_ms = at_ms
        return self._replace(known, incarnation)

    def _replace(self, known: _EndpointState, incarnation: Incarnation) -> bool:
        if incarnation == known.incarnation:
            return False
        if known.incarnation is not None:
            known.retired = (*known.retired, known.incarnation)[-_MAX_RETIRED:]
            # Reports on the previous incarnation do not apply to this one.
            known.sources.clear()
        known.incarnation = incarnation
        return True
