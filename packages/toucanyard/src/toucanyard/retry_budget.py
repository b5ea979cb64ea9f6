"""Bound retries to a share of first tries, so that they can't multiply the load."""

from __future__ import annotations

from collections import deque
from typing import Final

MAX_SAVED_RETRIES: Final = 20.0
"""Maximum retries that may be saved up; the requests of a failing endpoint need
some."""
SAFE_SHARE: Final = 0.8
"""Share of the joint budget that is used, as each node's count of peers lags."""


class RetryBudget:
    """Retry budget to which each first try adds a share of a retry.

    Invariant: no more than 1 + share x first tries retries have ever been allowed.
    """

    __slots__ = ("_balance", "_share")

    def __init__(self, share: float) -> None:
        self._share = share
        self._balance = 1.0

    def record_first_try(self) -> None:
        """Add a share of a retry to the budget."""
        self._balance = min(self._balance + self._share, MAX_SAVED_RETRIES)

    def take(self) -> bool:
        """Take one retry; return False if there is none left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class SharedRetryBudget:
    """A node's share of the retry budget of all nodes, over a sliding window.

    Invariant: in any window, this node's retries stay below its share of the slack plus
    `ratio` times its own first tries in that window.
    """

    __slots__ = ("_first_ms", "_ratio", "_retry_ms", "_slack", "_window_ms")

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._first_ms: deque[float] = deque()
        self._retry_ms: deque[float] = deque()

    def record_first_try(self, now_ms: float) -> None:
        """Count a first try."""
        self._first_ms.append(now_ms)
        self._expire(now_ms)

    def take(self, node_count: int, now_ms: float) -> bool:
        """Take one retry; return False if this node's share is exhausted."""
        self._expire(now_ms)
        allowed = self._slack / max(node_count, 1) + self._ratio * len(self._first_ms)
        if len(self._retry_ms) + 1 > SAFE_SHARE * allowed:
            return False
        self._retry_ms.append(now_ms)
        return True

    def give_back(self) -> None:
        """Return a retry that was taken but not sent."""
        if self._retry_ms:
            self._retry_ms.pop()

    def _expire(self, now_ms: float) -> None:
        for times in (self._first_ms, self._retry_ms):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
