"""Record which requests were running on replicas when these crashed.

A replica runs many requests at once, and a crash does not show which one caused it,
or by which of its traits. A trait of a request that a replica survived is cleared; one
that was running at several crashes and that no replica survived is considered their
cause. All nodes receive the same crashes by gossip and apply the same rules.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import Final

import msgspec

from toucanyard.link_messages import LostRun, ReplicaCrash, RequestSurvival
from toucanyard.names import EndpointName, Fingerprint
from toucanyard.request_traits import is_block

CONFIRMED_CRASHES: Final = 3
"""Crashes that confirm a trait as the cause, each of a run sent after the one before
it."""
SOLE_CAUSE_CRASHES: Final = 2
"""The same for a request that is the only one common to all of these crashes."""
PROBATION_REPLICAS: Final = 3
"""Replicas lost while running copies of a request, after which one node alone runs
it."""
PROGRESSED_WEIGHT: Final = 0.5
"""Weight of a crash whose replica had been writing an answer for a while: what crashes
replicas does so when they begin."""
SETTLING_MS: Final = 500.0
"""Time after a crash in which other nodes may still report what they had running."""
GOSSIP_MS: Final = 400.0
"""How long an update is included in statuses: at least one to each peer. Updates lost
with a broken link are sent again once there is a new one."""
CLOCK_SLACK_MS: Final = 40.0
"""Maximum error of times reported by peers, whose ages omit the latency of links."""
CRASH_TTL_MS: Final = 600_000.0
"""How long a crash is attributed to the requests that were running."""
MAX_REQUESTS: Final = 16_384
"""Traits of all crashes together; the oldest crashes are dropped first."""
MAX_SURVIVORS: Final = 8_192
"""Recently answered requests, and recently answered blocks, that are kept."""
MAX_CRASH_REQUESTS: Final = 1_024
"""Traits per crash."""


class Suspicion(enum.Enum):
    """How strongly crashes point to a trait as their cause."""

    NONE = "none"
    POSSIBLE = "possible"
    PROBATION = "probation"
    """Many replicas crashed while they ran copies of it at the same time: it may be the
    cause, or all may have been lost to one unrelated event."""
    UNSETTLED = "unsettled"
    """Other nodes may still report what else was running at the last crash."""
    CONFIRMED = "confirmed"


class _Crash(msgspec.Struct):
    at_ms: float
    sent_ms: dict[Fingerprint, float]
    """When the last request with each trait that was lost there was sent."""
    progressed: set[Fingerprint]
    """Traits of requests whose answers the replica had been writing for a while."""
    shared_until_ms: float


class _Survival(msgspec.Struct, frozen=True):
    """The last answer to a request with a trait that its replica survived."""

    begun_ms: float
    at_ms: float
    cleared_ms: float
    """Until when crashes are not attributed to the trait."""


class _Survivals:
    """Last survivals; bodies and blocks have a bound each, so neither evicts the other.

    Invariant: never more than MAX_SURVIVORS of each.
    """

    __slots__ = ("_blocks", "_bodies")

    def __init__(self) -> None:
        self._bodies: dict[Fingerprint, _Survival] = {}
        self._blocks: dict[Fingerprint, _Survival] = {}

    def find(self, trait: Fingerprint) -> _Survival | None:
        """Return the last survival of a trait; None if unknown."""
        return self._select(trait).get(trait)

    def record(self, trait: Fingerprint, survival: _Survival) -> None:
        """Record a survival, and evict the least recent one if there are too many."""
        survivals = self._select(trait)
        survivals.pop(trait, None)
        survivals[trait] = survival
        if len(survivals) > MAX_SURVIVORS:
            del survivals[next(iter(survivals))]

    def _select(self, trait: Fingerprint) -> dict[Fingerprint, _Survival]:
        return self._blocks if is_block(trait) else self._bodies


class CrashLedger:
    """Crashes and survivals, from this node and its peers.

    Invariants: an incarnation of a replica crashes once, at the time reported first;
    only crashes after its last survival are attributed to a trait; sizes are bounded.
    """

    __slots__ = (
        "_by_trait",
        "_crashes",
        "_is_held",
        "_shared",
        "_survivals",
        "_trait_count",
        "version",
    )

    def __init__(
        self, is_held: Callable[[Fingerprint], bool] = lambda _: False
    ) -> None:
        self._is_held = is_held
        """Whether a trait is under quarantine, and so explains its crashes."""
        self._crashes: dict[EndpointName, _Crash] = {}
        self._by_trait: dict[Fingerprint, set[EndpointName]] = {}
        self._survivals = _Survivals()
        self._shared: dict[Fingerprint, float] = {}
        """Survivals that are sent to peers, and until when."""
        self._trait_count = 0
        self.version = 0
        """Changes whenever the crashes attributed to any trait do."""

    def is_empty(self) -> bool:
        """Return whether no crash is known."""
        return not self._crashes

    def find_crash_time(self, replica: EndpointName) -> float | None:
        """Return when this incarnation crashed; None if no crash of it is known."""
        crash = self._crashes.get(replica)
        return None if crash is None else crash.at_ms

    def list_attributed_crashes(self, trait: Fingerprint) -> list[EndpointName]:
        """Return the replicas that crashed under a trait since its last survival."""
        names = self._by_trait.get(trait, ())
        attributed = [name for name in names if self._is_attributed(trait, name)]
        return sorted(attributed, key=lambda name: self._crashes[name].at_ms)

    def list_unexplained_crashes(self, trait: Fingerprint) -> list[EndpointName]:
        """Return the same without the crashes that a block in quarantine explains."""
        return [
            name
            for name in self.list_attributed_crashes(trait)
            if not any(
                other != trait and is_block(other) and self._is_held(other)
                for other in self._crashes[name].sent_ms
            )
        ]

    def list_frequent(self, minimum: int) -> Iterator[Fingerprint]:
        """Return the traits to which at least so many crashes are attributed."""
        for trait, names in self._by_trait.items():
            if len(names) < minimum:
                continue
            if len(self.list_attributed_crashes(trait)) >= minimum:
                yield trait

    def count_runs(self) -> int:
        """Return the number of traits that are kept, over all crashes."""
        return self._trait_count

    def has_survived(self, trait: Fingerprint) -> bool:
        """Return whether a replica is known to have survived this trait."""
        return self._survivals.find(trait) is not None

    def find_last_time(self, crashed: Sequence[EndpointName]) -> float:
        """Return the time of the last of some crashes, which are in order of time."""
        return self._crashes[crashed[-1]].at_ms

    def assess(
        self,
        fingerprint: Fingerprint,
        now_ms: float,
        own_blocks: Collection[Fingerprint] = (),
    ) -> Suspicion:
        """Return how strongly crashes point to a whole request.

        `own_blocks`: its shared blocks, which are running whenever it is.
        """
        if fingerprint not in self._by_trait:
            return Suspicion.NONE
        crashed = self.list_unexplained_crashes(fingerprint)
        if not crashed:
            return Suspicion.NONE
        count = self.count_serial(fingerprint, crashed)
        if count < SOLE_CAUSE_CRASHES:
            return self._assess_copies(fingerprint, len(crashed))
        if now_ms - self.find_last_time(crashed) < SETTLING_MS:
            return Suspicion.UNSETTLED
        weight = self.weigh(fingerprint, crashed)
        is_sole_cause = self._is_sole_cause(fingerprint, crashed, own_blocks)
        if weight >= SOLE_CAUSE_CRASHES and is_sole_cause:
            return Suspicion.CONFIRMED
        has_stronger = self.has_stronger(fingerprint, crashed)
        if weight >= CONFIRMED_CRASHES and not has_stronger:
            return Suspicion.CONFIRMED
        return self._assess_copies(fingerprint, len(crashed))

    def count_serial(self, trait: Fingerprint, crashed: Sequence[EndpointName]) -> int:
        """Return how many crashes each ended a run sent after the previous crash.

        A single event may have ended all replicas that ran copies at the same time.
        """
        return len(self.list_serial(trait, crashed))

    def list_serial(
        self, trait: Fingerprint, crashed: Sequence[EndpointName]
    ) -> list[EndpointName]:
        """Return the crashes that each ended a run sent after the previous one."""
        serial, last_ms = [], float("-inf")
        for name in crashed:
            crash = self._crashes[name]
            is_later = crash.at_ms >= last_ms + 2 * CLOCK_SLACK_MS
            if is_later and crash.sent_ms[trait] >= last_ms - CLOCK_SLACK_MS:
                serial.append(name)
                last_ms = crash.at_ms
        return serial

    def weigh(self, trait: Fingerprint, crashed: Sequence[EndpointName]) -> float:
        """Return the weight of the crashes that each ended a later run."""
        return sum(
            PROGRESSED_WEIGHT if trait in self._crashes[name].progressed else 1.0
            for name in self.list_serial(trait, crashed)
        )

    def has_stronger(
        self, fingerprint: Fingerprint, crashed: Sequence[EndpointName]
    ) -> bool:
        """Return whether another trait was running at all these crashes and at more."""
        has_survived = self.has_survived(fingerprint)
        return any(
            len(self.list_attributed_crashes(other)) > len(crashed)
            for other in self.list_common(crashed)
            if other != fingerprint and (has_survived or not self.has_survived(other))
        )

    def list_common(self, crashed: Sequence[EndpointName]) -> Iterator[Fingerprint]:
        """Return the traits to which all of these crashes are attributed."""
        first, *rest = (self._crashes[name].sent_ms for name in crashed)
        for trait in first:
            if all(trait in each for each in rest) and all(
                self._is_attributed(trait, name) for name in crashed
            ):
                yield trait

    def add_crash(
        self,
        replica: EndpointName,
        at_ms: float,
        runs: Iterable[LostRun],
        now_ms: float,
        *,
        is_shared: bool,
    ) -> list[Fingerprint]:
        """Attribute a replica's crash to traits; return those that were added.

        `is_shared`: whether additions are sent to peers.
        """
        crash = self._crashes.get(replica)
        is_new = crash is None
        if crash is None:
            crash = _Crash(at_ms, {}, set(), float("-inf"))
            self._crashes[replica] = crash
        added: list[Fingerprint] = []
        for run in runs:
            trait = run.fingerprint
            sent_ms = crash.at_ms - run.ran_ms
            known_ms = crash.sent_ms.get(trait)
            if known_ms is not None:
                crash.sent_ms[trait] = max(known_ms, sent_ms)
            elif len(crash.sent_ms) < MAX_CRASH_REQUESTS:
                crash.sent_ms[trait] = sent_ms
                self._by_trait.setdefault(trait, set()).add(replica)
                self._share_survival(trait, now_ms)
                added.append(trait)
            if run.has_progressed and trait in crash.sent_ms:
                crash.progressed.add(trait)
        self._trait_count += len(added)
        self.version += 1
        if (added or is_new) and is_shared:
            crash.shared_until_ms = now_ms + GOSSIP_MS
        self._trim()
        return added

    def record_survival(
        self,
        trait: Fingerprint,
        at_ms: float,
        now_ms: float,
        *,
        is_shared: bool,
        begun_ms: float | None = None,
    ) -> bool:
        """Record that a replica survived a trait; return whether that cleared crashes.

        `is_shared`: whether the survival is then sent to peers. `begun_ms`: when the
        answer began; by default when it ended. An answer that began before the first
        attributed crash clears no later one: the trait may have changed in between.
        """
        begun_ms = at_ms if begun_ms is None else begun_ms
        before = self._survivals.find(trait)
        if before is not None and at_ms <= before.at_ms + CLOCK_SLACK_MS:
            # Peers send the same survival back with a slightly different age.
            return False
        crashed = self.list_attributed_crashes(trait)
        is_later = bool(crashed) and begun_ms >= self._crashes[crashed[0]].at_ms
        cleared_ms = at_ms if is_later else begun_ms
        if before is not None:
            cleared_ms = max(cleared_ms, before.cleared_ms)
        self._survivals.record(trait, _Survival(begun_ms, at_ms, cleared_ms))
        if len(self.list_attributed_crashes(trait)) == len(crashed):
            return False
        self.version += 1
        if is_shared:
            self._share_survival(trait, now_ms)
        return True

    def clear(self, trait: Fingerprint) -> None:
        """Drop all crashes attributed to a trait, as if it had never run."""
        self.version += 1
        for replica in self._by_trait.pop(trait, ()):
            crash = self._crashes[replica]
            del crash.sent_ms[trait]
            crash.progressed.discard(trait)
            self._trait_count -= 1

    def share_all(self, now_ms: float) -> None:
        """Send all crashes and survivals again, for a peer that has none of them."""
        for crash in self._crashes.values():
            crash.shared_until_ms = now_ms + GOSSIP_MS
        for trait in self._by_trait:
            self._share_survival(trait, now_ms)

    def list_crashes(self, now_ms: float) -> Iterator[ReplicaCrash]:
        """Return the crashes to send to peers now."""
        for replica, crash in self._crashes.items():
            if now_ms < crash.shared_until_ms:
                runs = tuple(
                    LostRun(trait, crash.at_ms - sent_ms, trait in crash.progressed)
                    for trait, sent_ms in crash.sent_ms.items()
                    if self._is_attributed(trait, replica)
                )
                yield ReplicaCrash(replica, now_ms - crash.at_ms, runs)

    def list_survivals(self, now_ms: float) -> Iterator[RequestSurvival]:
        """Return the survivals to send to peers now."""
        for trait, until_ms in list(self._shared.items()):
            survival = self._survivals.find(trait)
            if now_ms >= until_ms or survival is None:
                del self._shared[trait]
                continue
            wrote_ms = survival.at_ms - survival.begun_ms
            yield RequestSurvival(trait, now_ms - survival.at_ms, wrote_ms)

    def prune(self, now_ms: float) -> None:
        """Drop expired crashes."""
        old = [
            name
            for name, crash in self._crashes.items()
            if now_ms - crash.at_ms > CRASH_TTL_MS
        ]
        for name in old:
            self._forget(name)

    def _share_survival(self, trait: Fingerprint, now_ms: float) -> None:
        if self.has_survived(trait):
            self._shared[trait] = now_ms + GOSSIP_MS

    def _is_attributed(self, trait: Fingerprint, replica: EndpointName) -> bool:
        survival = self._survivals.find(trait)
        return survival is None or self._crashes[replica].at_ms > survival.cleared_ms

    def _assess_copies(self, fingerprint: Fingerprint, replicas: int) -> Suspicion:
        is_known = self.has_survived(fingerprint)
        if replicas >= PROBATION_REPLICAS and not is_known:
            return Suspicion.PROBATION
        return Suspicion.POSSIBLE

    def _is_sole_cause(
        self,
        fingerprint: Fingerprint,
        crashed: Sequence[EndpointName],
        own_blocks: Collection[Fingerprint],
    ) -> bool:
        others = (each for each in self.list_common(crashed) if each != fingerprint)
        return all(
            is_block(other) and (other in own_blocks or self.has_survived(other))
            for other in others
        )

    def _trim(self) -> None:
        while self._trait_count > MAX_REQUESTS:
            self._forget(next(iter(self._crashes)))

    def _forget(self, replica: EndpointName) -> None:
        self.version += 1
        crash = self._crashes.pop(replica)
        self._trait_count -= len(crash.sent_ms)
        for trait in crash.sent_ms:
            names = self._by_trait[trait]
            names.discard(replica)
            if not names:
                del self._by_trait[trait]
