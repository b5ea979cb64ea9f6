"""Know which requests were under way at replicas when these crashed.

A replica runs many requests at once, and a crash does not say which one caused it.
What survived a run is cleared; what was under way at several crashes and survived none
is taken for their cause. All nodes hear of the same crashes and judge in the same way.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from toucanyard.link_messages import LostRun, ReplicaCrash, RequestSurvival
from toucanyard.names import EndpointName, Fingerprint

CONFIRMED_CRASHES: Final = 3
"""Crashes, each of a run sent after the one before, by which a request is convicted."""
SOLE_CAUSE_CRASHES: Final = 2
"""The same for a request that alone was under way at all of them."""
PROBATION_REPLICAS: Final = 3
"""Replicas lost under copies of a request after which one node alone runs it."""
SETTLING_MS: Final = 500.0
"""Time after a crash in which other nodes may still say what they had under way."""
GOSSIP_MS: Final = 400.0
"""How long each piece of news is in statuses: at least one to each peer. What a link
that breaks has lost is sent again once there is a new one."""
CRASH_TTL_MS: Final = 600_000.0
"""How long a crash counts against the requests that were under way."""
MAX_REQUESTS: Final = 16_384
"""Requests of all crashes together; the oldest crashes go first."""
MAX_SURVIVORS: Final = 8_192
"""Requests that were answered lately and are remembered."""
MAX_CRASH_REQUESTS: Final = 256
"""Requests of one crash; a replica runs half as many at once."""


class Suspicion(enum.Enum):
    """What crashes say of a request."""

    NONE = "none"
    POSSIBLE = "possible"
    PROBATION = "probation"
    """Many replicas ended under copies that ran at the same time: it may have ended
    them, or one event that it has nothing to do with."""
    UNSETTLED = "unsettled"
    """Nodes may still tell what else was under way at the last crash."""
    CONFIRMED = "guilty"


class _Crash(msgspec.Struct):
    at_ms: float
    sent_ms: dict[Fingerprint, float]
    """When each request that was lost there had been sent."""
    shared_until_ms: float


class CrashLedger:
    """Crashes and survivals, from this node and its peers.

    Invariants: a replica's life crashes once, at the time first heard of; a request is
    charged only with crashes after its last survival; sizes are bounded.
    """

    __slots__ = ("_by_request", "_crashes", "_request_count", "_shared", "_survived_ms")

    def __init__(self) -> None:
        self._crashes: dict[EndpointName, _Crash] = {}
        self._by_request: dict[Fingerprint, set[EndpointName]] = {}
        self._survived_ms: dict[Fingerprint, float] = {}
        """In the order of the last survivals."""
        self._shared: dict[Fingerprint, float] = {}
        """Survivals that peers are told of, and until when."""
        self._request_count = 0

    def find_crash_time(self, replica: EndpointName) -> float | None:
        """Return when a replica's life crashed; None if it is not known to have."""
        crash = self._crashes.get(replica)
        return None if crash is None else crash.at_ms

    def list_attributed_crashes(self, fingerprint: Fingerprint) -> list[EndpointName]:
        """Return the replicas that crashed under a request since it last survived."""
        names = self._by_request.get(fingerprint, ())
        attributed = [name for name in names if self._is_attributed(fingerprint, name)]
        return sorted(attributed, key=lambda name: self._crashes[name].at_ms)

    def count_runs(self) -> int:
        """Return how many lost runs are remembered, over all crashes."""
        return self._request_count

    def has_survived(self, fingerprint: Fingerprint) -> bool:
        """Tell whether a replica is known to have answered this request."""
        return fingerprint in self._survived_ms

    def judge(self, fingerprint: Fingerprint, now_ms: float) -> Suspicion:
        """Return what is to be believed of a request."""
        if fingerprint not in self._by_request:
            return Suspicion.NONE
        crashed = self.list_attributed_crashes(fingerprint)
        if not crashed:
            return Suspicion.NONE
        count = self._count_serial(fingerprint, crashed)
        if count < SOLE_CAUSE_CRASHES:
            return self._judge_copies(fingerprint, len(crashed))
        if now_ms - self._crashes[crashed[-1]].at_ms < SETTLING_MS:
            return Suspicion.UNSETTLED
        if count >= CONFIRMED_CRASHES or self._is_sole_cause(fingerprint, crashed):
            return Suspicion.CONFIRMED
        return self._judge_copies(fingerprint, len(crashed))

    def add_crash(
        self,
        replica: EndpointName,
        at_ms: float,
        runs: Iterable[LostRun],
        now_ms: float,
        *,
        is_shared: bool,
    ) -> list[Fingerprint]:
        """Charge requests with a replica's crash; return those that are new to it.

        `is_shared` tells whether peers are to hear of what is new.
        """
        crash = self._crashes.get(replica)
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
        if added and is_shared:
            crash.shared_until_ms = now_ms + GOSSIP_MS
        self._trim()
        return added

    def record_survival(
        self, fingerprint: Fingerprint, at_ms: float, now_ms: float, *, is_shared: bool
    ) -> bool:
        """Clear a request that a replica answered; return whether that is news.

        `is_shared` tells whether peers are to hear of it then.
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
        """Drop all charges against a request; it counts as one that never ran."""
        for replica in self._by_request.pop(fingerprint, ()):
            del self._crashes[replica].sent_ms[fingerprint]
            self._request_count -= 1

    def share_all(self, now_ms: float) -> None:
        """Tell peers once more of all that counts; a new one has heard nothing."""
        for crash in self._crashes.values():
            crash.shared_until_ms = now_ms + GOSSIP_MS
        for fingerprint in self._by_request:
            self._share_survival(fingerprint, now_ms)

    def list_crashes(self, now_ms: float) -> Iterator[ReplicaCrash]:
        """Return the crashes that peers are to hear of now."""
        for replica, crash in self._crashes.items():
            if now_ms < crash.shared_until_ms:
                runs = tuple(
                    LostRun(fingerprint, crash.at_ms - sent_ms)
                    for fingerprint, sent_ms in crash.sent_ms.items()
                    if self._is_attributed(fingerprint, replica)
                )
                yield ReplicaCrash(replica, now_ms - crash.at_ms, runs)

    def list_survivals(self, now_ms: float) -> Iterator[RequestSurvival]:
        """Return the survivals that peers are to hear of now."""
        for fingerprint, until_ms in list(self._shared.items()):
            survived_ms = self._survived_ms.get(fingerprint)
            if now_ms >= until_ms or survived_ms is None:
                del self._shared[fingerprint]
                continue
            yield RequestSurvival(fingerprint, now_ms - survived_ms)

    def prune(self, now_ms: float) -> None:
        """Forget crashes that no longer count."""
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

    def _judge_copies(self, fingerprint: Fingerprint, replicas: int) -> Suspicion:
        is_known = self.has_survived(fingerprint)
        if replicas >= PROBATION_REPLICAS and not is_known:
            return Suspicion.PROBATION
        return Suspicion.POSSIBLE

    def _count_serial(
        self, fingerprint: Fingerprint, crashed: list[EndpointName]
    ) -> int:
        """Return the crashes of which each met a run sent after the one before.

        One event may have ended all replicas that ran copies at the same time.
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
