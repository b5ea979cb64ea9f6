"""Find the prompt blocks that crash replicas: the fewest traits that explain crashes.

Many requests share a block, so a wrong verdict costs more than one about a whole
request. Blocks that ran beside the cause are common to several crashes too. The trait
with the most crashes is taken as a cause, and its crashes no longer count for others.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final

import msgspec

from toucanyard.answered_calls import SURVIVAL_DELAY_MS
from toucanyard.crash_ledger import CONFIRMED_CRASHES, CrashLedger, Suspicion
from toucanyard.names import EndpointName, Fingerprint
from toucanyard.request_traits import is_block

SURVIVOR_CRASHES: Final = 4
"""Crashes that confirm a block that replicas have survived before."""
HELD_BONUS: Final = 1.0
"""Crashes by which another trait must exceed one under quarantine to replace it."""
SURVIVAL_GOSSIP_MS: Final = 300.0
"""Time in which all nodes learn of a survival, also over hubs."""
SETTLING_MS: Final = SURVIVAL_DELAY_MS + SURVIVAL_GOSSIP_MS
"""Time after a crash in which a survival from before it may become known."""


class _Candidate(msgspec.Struct):
    """A trait with enough crashes to be a cause."""

    trait: Fingerprint
    has_survived: bool
    needed: int
    crashed: list[EndpointName]
    """Attributed crashes that no cause explains yet, in order of time."""
    bonus: float

    def rank(self) -> tuple[bool, float, float, bool, Fingerprint]:
        """Return the sort key: the most likely cause first, narrower ones before."""
        count = len(self.crashed) + self.bonus
        is_wide = is_block(self.trait)
        return self.has_survived, -count, -self.bonus, is_wide, self.trait


class CrashCauses:
    """The causes of the crashes in one ledger, found again after each change."""

    __slots__ = ("_causes", "_held", "_ledger", "_list_held", "_version")

    def __init__(
        self,
        ledger: CrashLedger,
        list_held: Callable[[], Iterable[Fingerprint]] = lambda: (),
    ) -> None:
        self._ledger = ledger
        self._list_held = list_held
        """Returns the traits under quarantine."""
        self._version = -1
        self._held: frozenset[Fingerprint] = frozenset()
        """Traits under quarantine when the causes were found."""
        self._causes: dict[Fingerprint, frozenset[Fingerprint]] = {}
        """Causes, and the blocks that were running at exactly the same crashes."""

    def assess(
        self, block: Fingerprint, shallower: Collection[Fingerprint], now_ms: float
    ) -> Suspicion:
        """Return how strongly crashes point to a block of a request.

        `shallower`: the blocks before it in the prompt of that request. Of blocks that
        always ran together the deepest is confirmed, which holds back fewest requests.
        """
        crashed = self._ledger.list_attributed_crashes(block)
        if not crashed:
            return Suspicion.NONE
        if len(crashed) < self._count_needed(block):
            return Suspicion.POSSIBLE
        companions = self._find().get(block)
        if companions is None or not companions.issubset(shallower):
            return Suspicion.POSSIBLE
        if now_ms - self._ledger.find_last_time(crashed) < SETTLING_MS:
            return Suspicion.UNSETTLED
        return Suspicion.CONFIRMED

    def is_refuted(self, block: Fingerprint, now_ms: float) -> bool:
        """Return whether other causes explain the crashes of a block."""
        crashed = self._ledger.list_attributed_crashes(block)
        if len(crashed) < self._count_needed(block) or block in self._find():
            return False
        return now_ms - self._ledger.find_last_time(crashed) >= SETTLING_MS

    def is_confirmed(self, block: Fingerprint) -> bool:
        """Return whether a block is a cause, or one of several indistinguishable."""
        return block in self._find()

    def _count_needed(self, trait: Fingerprint) -> int:
        has_survived = self._ledger.has_survived(trait)
        return SURVIVOR_CRASHES if has_survived else CONFIRMED_CRASHES

    def _find(self) -> dict[Fingerprint, frozenset[Fingerprint]]:
        held = frozenset(self._list_held())
        if self._version != self._ledger.version or self._held != held:
            self._version = self._ledger.version
            self._held = held
            self._causes = self._compute()
        return self._causes

    def _compute(self) -> dict[Fingerprint, frozenset[Fingerprint]]:
        candidates = [
            _Candidate(
                trait,
                self._ledger.has_survived(trait),
                self._count_needed(trait),
                self._ledger.list_attributed_crashes(trait),
                HELD_BONUS if trait in self._held else 0.0,
            )
            for trait in self._ledger.list_frequent(CONFIRMED_CRASHES)
        ]
        causes: dict[Fingerprint, frozenset[Fingerprint]] = {}
        explained = self._list_known_crashes()
        while candidates := self._select(candidates, explained):
            best = min(candidates, key=_Candidate.rank)
            same = [
                each.trait
                for each in candidates
                if each.crashed == best.crashed
                and each.has_survived == best.has_survived
                and is_block(each.trait)
            ]
            if is_block(best.trait):
                for trait in same:
                    causes[trait] = frozenset(same) - {trait}
            explained = set(best.crashed)
        return causes

    def _list_known_crashes(self) -> set[EndpointName]:
        """Return the crashes of traits whose quarantine rests on a stored record."""
        known: set[EndpointName] = set()
        for trait in self._held:
            crashed = self._ledger.list_attributed_crashes(trait)
            if len(crashed) < self._count_needed(trait):
                known.update(crashed)
        return known

    def _select(
        self, candidates: Iterable[_Candidate], explained: Collection[EndpointName]
    ) -> list[_Candidate]:
        """Return the candidates that have enough crashes without the explained ones."""
        selected = []
        for each in candidates:
            each.crashed = [name for name in each.crashed if name not in explained]
            if self._ledger.weigh(each.trait, each.crashed) >= each.needed:
                selected.append(each)
        return selected
