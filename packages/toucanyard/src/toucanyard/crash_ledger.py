"""Record which requests were running on replicas when these crashed.

A replica runs many requests at once, and a crash does not show which one caused it.
A request that a replica survived is cleared; one that was running at several crashes
and that no replica survived is considered their cause. All nodes receive the same
crashes by gossip and apply the same rules.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from toucanyard.link_messages import LostRun, ReplicaCrash, RequestSurvival
from toucanyard.names import EndpointName, Fingerprint

CONFIRMED_CRASHES: Final = 3
"""Crashes that confirm a request as the cause, each of a run sent after the one before
it."""
SOLE_CAUSE_CRASHES: Final = 2
"""The same for a request that is the only one common to all of these crashes."""
PROBATION_REPLICAS: Final = 3
"""Replicas lost while running copies of a request, after which one node alone runs
it."""
SETTLING_MS: Final = 500.0
"""Time after a crash in which other nodes may still report what they had running."""
GOSSIP_MS: Final = 400.0
"""How long an update is included in statuses: at least one to each peer. Updates lost
with a broken link are sent again once there is a new one."""
CRASH_TTL_MS: Final = 600_000.0
"""How long a crash is attributed to the requests that were running."""
MAX_REQUESTS: Final = 16_384
"""Requests of all crashes together; the oldest crashes are dropped first."""
MAX_SURVIVORS: Final = 8_192
"""Recently answered requests that are kept."""
MAX_CRASH_REQUESTS: Final = 256
"""Requests per crash; a replica runs at most half as many at once."""


class Suspicion(enum.Enum):
    """How strongly crashes point to a request as their cause."""

    NONE = "none"
    POSSIBLE = "possible"
    PROBATION = "probation"
    """Many replicas crashed while they ran copies of it at the same time: it may be the
    cause, or all may have been lost to one unrelated event."""
    UNSETTLED = "unsettled"
    """Other nodes may still report what else was running at the last crash."""
    CONFIRMED = "guilty"


class _Crash(msgspec.Struct):
    at_ms: float
    sent_ms: dict[Fingerprint, float]
    """When each request that was lost there was sent."""
    shared_until_ms: float


class CrashLedger:
    """Crashes and survivals, from this node and its peers.

    Invariants: an incarnation of a replica crashes once, at the time reported first;
    only crashes after its last survival are attributed to a request; sizes are bounded.
    """

    __slots__ = ("_by_request", "_crashes", "_request_count", "_shared", "_survived_ms")

    def __init__(self) -> None:
        self._crashes: dict[EndpointName, _Crash] = {}
        self._by_request: dict[Fingerprint, set[EndpointName]] = {}
        self._survived_ms: dict[Fingerprint, float] = {}
        """Ordered by last survival."""
        self._shared: dict[Fingerprint, float] = {}
        """Survivals that are sent to peers, and until when."""
        self._request_count = 0

    def find_crash_time(self, replica: EndpointName) -> float | None:
        """Return when this incarnation crashed; None if no crash of it is known."""
        crash = self._crashes.get(replica)
        return None if crash is None else crash.at_ms

    def list_attributed_crashes(self, fingerprint: Fingerprint) -> list[EndpointName]:
        """Return the replicas that crashed under a request since its last survival."""
        names = self._by_request.get(fingerprint, ())
        attributed = [name for name in names if self._is_attributed(fingerprint, name)]
        return sorted(attributed, key=lambda name: self._crashes[name].at_ms)

    def count_runs(self) -> int:
        """Return the number of lost runs that are kept, over all crashes."""
        return self._request_count

    def has_survived(self, fingerprint: Fingerprint) -> bool:
        """Return whether a replica is known to have survived this request."""
        return fingerprint in self._survived_ms

    def assess(self, fingerprint: Fingerprint, now_ms: float) -> Suspicion:
        """Return how strongly crashes point to a request."""
        if fingerprint not in self._by_request:
            return Suspicion.NONE
        crashed = self.list_attributed_crashes(fingerprint)
        if not crashed:
            return Suspicion.NONE
        count = self._count_serial(fingerprint, crashed)
        if count < SOLE_CAUSE_CRASHES:
            return self._assess_copies(fingerprint, len(crashed))
        if now_ms - self._crashes[crashed[-1]].at_ms < SETTLING_MS:
            return Suspicion.UNSETTLED
        if count >= CONFIRMED_CRASHES or self._is_sole_cause(fingerprint, crashed):
            return Suspicion.CONFIRMED
        return self._assess_copies(fingerprint, len(crashed))

    def add_crash(
        self,
        replica: EndpointName,
        at_ms: float,
        runs: Iterable[LostRun],
        now_ms: float,
        *,
        is_shared: bool,
    ) -> list[Fingerprint]:
        """Attribute a replica's crash to requests; return those that were added.

        `is_shared`: whether additions are sent to peers.
        """
        crash = self._crashes.get(replica)
        is_new = crash is None
        if crash is None:
            crash = self._crashes[replica] = _Crash(at_ms, {}, float("-inf"))
        added: list[Fingerprint] = []
        for run in runs:
            fingerprint = run.fingerprint
            sent_ms = crash.at_ms - run.ran_ms
            known_ms = crash.sent_ms.get(fingerprint)
            if known_ms is not None:
                crash.sent_ms[fingerprint] = max(known_ms, sent_ms)
            elif len(crash.sent_ms) < MAX_CRASH_REQUESTS:
                crash.sent_ms[fingerprint] = sent_ms
                self._by_request.setdefault(fingerprint, set()).add(replica)
                self._share_survival(fingerprint, now_ms)
                added.append(fingerprint)
        self._request_count += len(added)
        if (added or is_new) and is_shared:
            crash.shared_until_ms = now_ms + GOSSIP_MS
        self._trim()
        return added

    def record_survival(
        self, fingerprint: Fingerprint, at_ms: float, now_ms: float, *, is_shared: bool
    ) -> bool:
        """Clear a request that a replica survived; return whether it had crashes.

        `is_shared`: whether the survival is then sent to peers.
        """
        before_ms = self._survived_ms.get(fingerprint, float("-inf"))
        if at_ms <= before_ms:
            return False
        crashed = self.list_attributed_crashes(fingerprint)
        self._survived_ms.pop(fingerprint, None)
        self._survived_ms[fingerprint] = at_ms
        if len(self._survived_ms) > MAX_SURVIVORS:
            del self._survived_ms[next(iter(self._survived_ms))]
        if not crashed:
            return False
        if is_shared:
            self._share_survival(fingerprint, now_ms)
        return True

    def clear(self, fingerprint: Fingerprint) -> None:
        """Drop all crashes attributed to a request, as if it had never run."""
        for replica in self._by_request.pop(fingerprint, ()):
            del self._crashes[replica].sent_ms[fingerprint]
            self._request_count -= 1

    def share_all(self, now_ms: float) -> None:
        """Send all crashes and survivals again, for a peer that has none of them."""
        for crash in self._crashes.values():
            crash.shared_until_ms = now_ms + GOSSIP_MS
        for fingerprint in self._by_request:
            self._share_survival(fingerprint, now_ms)

    def list_crashes(self, now_ms: float) -> Iterator[ReplicaCrash]:
        """Return the crashes to send to peers now."""
        for replica, crash in self._crashes.items():
            if now_ms < crash.shared_until_ms:
                runs = tuple(
                    LostRun(fingerprint, crash.at_ms - sent_ms)
                    for fingerprint, sent_ms in crash.sent_ms.items()
                    if self._is_attributed(fingerprint, replica)
                )
                yield ReplicaCrash(replica, now_ms - crash.at_ms, runs)

    def list_survivals(self, now_ms: float) -> Iterator[RequestSurvival]:
        """Return the survivals to send to peers now."""
        for fingerprint, until_ms in list(self._shared.items()):
            survived_ms = self._survived_ms.get(fingerprint)
            if now_ms >= until_ms or survived_ms is None:
                del self._shared[fingerprint]
                continue
            yield RequestSurvival(fingerprint, now_ms - survived_ms)

    def prune(self, now_ms: float) -> None:
        """Drop expired crashes."""
        old = [
            name
            for name, crash in self._crashes.items()
            if now_ms - crash.at_ms > CRASH_TTL_MS
        ]
        for name in old:
            self._forget(name)

    def _share_survival(self, fingerprint: Fingerprint, now_ms: float) -> None:
        if fingerprint in self._survived_ms:
            self._shared[fingerprint] = now_ms + GOSSIP_MS

    def _is_attributed(self, fingerprint: Fingerprint, replica: EndpointName) -> bool:
        survived_ms = self._survived_ms.get(fingerprint, float("-inf"))
        return self._crashes[replica].at_ms > survived_ms

    def _assess_copies(self, fingerprint: Fingerprint, replicas: int) -> Suspicion:
        is_known = self.has_survived(fingerprint)
        if replicas >= PROBATION_REPLICAS and not is_known:
            return Suspicion.PROBATION
        return Suspicion.POSSIBLE

    def _count_serial(
        self, fingerprint: Fingerprint, crashed: list[EndpointName]
    ) -> int:
        """Return how many crashes each ended a run sent after the previous crash.

        A single event may have ended all replicas that ran copies at the same time.
        """
        count, last_ms = 0, float("-inf")
        for name in crashed:
            crash = self._crashes[name]
            if crash.sent_ms[fingerprint] >= last_ms:
                count += 1
                last_ms = crash.at_ms
        return count

    def _is_sole_cause(
        self, fingerprint: Fingerprint, crashed: list[EndpointName]
    ) -> bool:
        common = set.intersection(
            *(set(self._crashes[name].sent_ms) for name in crashed)
        )
        return not any(
            other != fingerprint
            and all(self._is_attributed(other, name) for name in crashed)
            for other in common
        )

    def _trim(self) -> None:
        while self._request_count > MAX_REQUESTS:
            self._forget(next(iter(self._crashes)))

    def _forget(self, replica: EndpointName) -> None:
        crash = self._crashes.pop(replica)
        self._request_count -= len(crash.sent_ms)
        for fingerprint in crash.sent_ms:
            names = self._by_request[fingerprint]
            names.discard(replica)
            if not names:
                del self._by_request[fingerprint]
