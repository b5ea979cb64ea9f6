"""Pass news on to peers within a budget, each piece once to each peer.

News on one subject replaces what was known before when it is newer; equal or older
news is dropped, which ends its travel.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.digests import Leaving, News, Recovered, Restarted, Suspected
from toucanyard.names import NodeName

_MAX_SUBJECTS: Final = 4_096
_FAN_OUT: Final = 4
"""To how many peers news from a peer is passed on; all neighbours do the same."""
_SAME_MS: Final = 500.0
"""Ages of one piece of news may differ by this much after several hops."""


class _Piece(msgspec.Struct):
    news: News
    at_ms: float
    received_ms: float
    told: set[NodeName]
    is_own: bool
    passes: int
    """How many more peers are to be told; the refresh reaches those left out."""

    def is_for(self, peer: NodeName) -> bool:
        """Tell whether a peer is to be told."""
        return self.passes > 0 and peer not in self.told


def find_subject(news: News) -> tuple[str, str]:
    """Return what a piece of news is about."""
    match news:
        case Suspected() | Recovered():
            return news.endpoint, news.source
        case Leaving():
            return news.address, ""
        case Restarted():
            return news.endpoint, ""


class NewsBoard:
    """Hold the newest piece on each subject and who has it.

    Invariant: at most _MAX_SUBJECTS pieces, each younger than `keep_ms`.
    """

    __slots__ = ("_keep_ms", "_pieces")

    def __init__(self, keep_ms: float) -> None:
        self._keep_ms = keep_ms
        self._pieces: dict[tuple[str, str], _Piece] = {}

    def post(self, news: News, now_ms: float, source: NodeName | None) -> bool:
        """Take in news from a peer or from this node; return whether it is new."""
        if not 0 <= news.age_ms <= self._keep_ms:
            return False
        at_ms = now_ms - news.age_ms
        subject = find_subject(news)
        known = self._pieces.get(subject)
        if known is not None and not _is_newer(news, at_ms, known):
            if source is not None and type(known.news) is type(news):
                known.told.add(source)
            return False
        if known is None and len(self._pieces) >= _MAX_SUBJECTS:
            return False
        told = set() if source is None else {source}
        is_own = source is None
        # A leaving VM must be known everywhere at once, and there are few of them.
        is_for_all = is_own or isinstance(news, Leaving)
        passes = _MAX_SUBJECTS if is_for_all else _FAN_OUT
        self._pieces[subject] = _Piece(news, at_ms, now_ms, told, is_own, passes)
        return True

    def take(self, peer: NodeName, now_ms: float, limit: int) -> tuple[News, ...]:
        """Return news for a peer and mark it as told; own first, then the newest.

        Nobody else may have own news yet, while news of others comes many ways.
        """
        waiting = [each for each in self._pieces.values() if each.is_for(peer)]
        waiting.sort(key=lambda piece: (not piece.is_own, -piece.received_ms))
        taken: list[News] = []
        for piece in waiting[:limit]:
            piece.told.add(peer)
            piece.passes -= 1
            age_ms = int(max(0.0, now_ms - piece.at_ms))
            taken.append(msgspec.structs.replace(piece.news, age_ms=age_ms))
        return tuple(taken)

    def has_news_for(self, peer: NodeName) -> bool:
        """Tell whether something waits for a peer."""
        return any(piece.is_for(peer) for piece in self._pieces.values())

    def forget_peer(self, peer: NodeName) -> None:
        """Tell everything again to a peer that comes back, since it may be empty."""
        for piece in self._pieces.values():
            if peer in piece.told:
                piece.told.discard(peer)
                piece.passes += 1

    def prune(self, now_ms: float) -> None:
        """Drop what is too old to tell."""
        old = [
            subject
            for subject, piece in self._pieces.items()
            if now_ms - piece.at_ms > self._keep_ms
        ]
        for subject in old:
            del self._pieces[subject]


def _is_newer(news: News, at_ms: float, known: _Piece) -> bool:
    if isinstance(news, Restarted) and isinstance(known.news, Restarted):
        return news.incarnation != known.news.incarnation and at_ms > known.at_ms
    if type(news) is not type(known.news):
        return at_ms > known.at_ms
    return at_ms > known.at_ms + _SAME_MS
