"""Narrow the replicas of a model to the few that one call chooses among.

Where there are few replicas a call looks at all of them. Where there are many, what a
node knows of the others' calls is some hundred ms old: if all nodes chose the best of
all, the one that looks idle would get every call until they learned of it, and calls
would wait there for seconds beside idle replicas.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.names import EndpointName
from toucanyard.relay_requests import Prompt
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replicas import KnownReplica

MANY_REPLICAS: Final = 16
"""Replicas beyond which load sends many parts elsewhere than hashing does. What nobody
is known to hold is then fetched from its store on a guess."""
MIN_TRANSFER_TOKENS: Final = 500
"""Least shared tokens of a prompt that are worth a guess or a place in a store: reading
fewer takes no longer than the transfer."""
CHOICES: Final = 3
"""Replicas that hashing gives to a call, to its subject, and that hold most of it. With
two or more to choose from, load evens out nearly as well as with all."""
SHORT_TOKENS: Final = 3_000
"""Tokens up to which a prompt is short: it is read in one piece between two tokens of
the streams that run beside it, so they don't pause for long."""
SHORT_SHARE: Final = 0.35
"""Share of many replicas that short prompts go to first, the others being left to long
ones. Sized for streams of short prompts that last seconds and fill most of the slots
there, while long prompts keep two thirds of the reading."""
MAX_SEEDS: Final = 10_000
"""Replicas whose points of hashing are kept; more than twice those of a large fleet."""


class Candidate(msgspec.Struct, frozen=True):
    """A replica that may get a prompt, and what it holds of it."""

    known: KnownReplica
    version: int
    scope: str
    held_tokens: int
    """Tokens of the prompt's front that it holds or will soon."""


def has_many_candidates(candidates: Sequence[Candidate]) -> bool:
    """Tell whether there are too many replicas to choose the best of all."""
    return len(candidates) > MANY_REPLICAS


class CandidateFilter:
    """The first choice of candidates, the same on every node but for what they hold."""

    __slots__ = ("_seeds",)

    def __init__(self) -> None:
        self._seeds: dict[EndpointName, int] = {}

    def find_length_group(
        self, candidates: list[Candidate], prompt: Prompt
    ) -> list[Candidate]:
        """Return the candidates that prompts of this length go to first.

        All where there are few. Otherwise hashing divides them, the same on every node.
        """
        if not has_many_candidates(candidates):
            return candidates
        ordered = sorted(candidates, key=lambda each: self._find_seed(each))
        short_count = int(len(ordered) * SHORT_SHARE)
        is_short = prompt.count_tokens() <= SHORT_TOKENS
        return ordered[:short_count] if is_short else ordered[short_count:]

    def _find_seed(self, candidate: Candidate) -> int:
        name = candidate.known.replica.name
        seed = self._seeds.get(name)
        if seed is None:
            if len(self._seeds) > MAX_SEEDS:
                self._seeds.clear()
            seed = self._seeds[name] = compute_seed(name)
        return seed

    def find_preselected(
        self, group: Sequence[Candidate], prompt: Prompt, call: str
    ) -> list[Candidate]:
        """Return the candidates of a prompt's side that are looked at first.

        Those that hold its parts, those that hashing gives to its subject, which then
        is read once, and some that it gives to the call, where calls of a hot subject
        find room.
        """
        shared = prompt.find_shared()
        found = self._rank_first(group, call)
        if shared and prompt.count_tokens() > SHORT_TOKENS:
            found += self._rank_first(group, shared[-1].name)
        found += heapq.nlargest(
            CHOICES,
            (each for each in group if each.held_tokens >= MIN_TRANSFER_TOKENS),
            key=lambda each: each.held_tokens,
        )
        return found

    def _rank_first(
        self, candidates: Iterable[Candidate], hash_input: str
    ) -> list[Candidate]:
        """Return the few candidates that hashing gives to a matter."""
        key = compute_seed(EndpointName(hash_input))
        return heapq.nlargest(
            CHOICES,
            candidates,
            key=lambda each: compute_weight(self._find_seed(each), key),
        )
