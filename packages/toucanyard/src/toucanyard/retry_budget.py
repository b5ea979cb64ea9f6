"""Bound retries to a share of first tries, so that retries can't multiply a load."""

from __future__ import annotations

from typing import Final

MAX_SAVED: Final = 20.0
"""Retries that a quiet time may save up; a failing endpoint's requests need some."""


class RetryBudget:
    """Retries that may be sent; each first try earns a share of one.

    At no time have more retries been allowed than 1 + share x first tries.
    """

    __slots__ = ("_balance", "_share")

    def __init__(self, share: float) -> None:
        self._share = share
        self._balance = 1.0

    def note_first_try(self) -> None:
        """Earn a share of a retry."""
        self._balance = min(self._balance + self._share, MAX_SAVED)

    def take(self) -> bool:
        """Spend one retry; return False when there is none left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
