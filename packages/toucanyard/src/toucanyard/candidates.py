"""Narrow the replicas of a model down to the few considered for one call.

In a small service a call considers every replica. In a large one, a node's knowledge of
other nodes' calls is several hundred ms old. If all nodes chose the best of all
replicas, the one that looks idle would get every call until they learned of it, and
calls would wait there for seconds beside idle replicas.
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
"""Number of replicas above which load places many prompt blocks elsewhere than hashing
does. A block with no known holder is then fetched from its store speculatively."""
MIN_TRANSFER_TOKENS: Final = 500
"""Minimum shared tokens of a prompt for a speculative fetch or for saving to a store:
reading fewer takes no longer than the transfer."""
CHOICES: Final = 3
"""Number of candidates selected by the hash of the call, by the hash of its subject,
and by the tokens that they hold. Two or more choices balance the load nearly as well as
considering all."""
SHORT_TOKENS: Final = 3_000
"""Maximum tokens of a short prompt. It is read in one step between two tokens of the
streams that run beside it, so they don't pause for long."""
SHORT_SHARE: Final = 0.35
"""Share of the replicas of a large service that short prompts prefer; the others are
left to long prompts. Sized for streams of short prompts that last seconds and fill most
slots there, while long prompts keep two thirds of the reading capacity."""
MAX_SEEDS: Final = 10_000
"""Maximum number of cached replica hash seeds; more than twice the replicas of a large
fleet."""


class Candidate(msgspec.Struct, frozen=True):
    """A replica that may get a prompt, and how much of the prompt it holds."""

    known: KnownReplica
    version: int
    scope: str
    held_tokens: int
    """Leading tokens of the prompt that it holds or will soon hold."""


def has_many_candidates(candidates: Sequence[Candidate]) -> bool:
    """Return whether there are too many replicas to choose the best of all."""
    return len(candidates) > MANY_REPLICAS


class CandidateFilter:
    """Preselects candidates, alike on every node except for what replicas hold."""

    __slots__ = ("_seeds",)

    def __init__(self) -> None:
        self._seeds: dict[EndpointName, int] = {}

    def find_length_group(
        self,
        candidates: list[Candidate],
        prompt: Prompt,
        short_share: float = SHORT_SHARE,
    ) -> list[Candidate]:
        """Return the candidates that prompts of this length prefer.

        In a small service, all of them. Otherwise hashing divides them into a group for
        short and a group for long prompts, the same on every node.
        """
        if not has_many_candidates(candidates):
            return candidates
        ordered = sorted(candidates, key=lambda each: self._find_seed(each))
        short_count = int(len(ordered) * short_share)
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
        """Return the candidates of a length group that are considered first.

        These are the replicas that hold the prompt's blocks, those selected by the hash
        of its subject, so that the subject is read once, and some selected by the hash
        of the call, where calls of a hot subject find capacity.
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
        """Return the candidates with the highest rendezvous weights for an input."""
        key = compute_seed(EndpointName(hash_input))
        return heapq.nlargest(
            CHOICES,
            candidates,
            key=lambda each: compute_weight(self._find_seed(each), key),
        )
