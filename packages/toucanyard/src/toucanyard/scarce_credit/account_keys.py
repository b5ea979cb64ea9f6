"""Name the credit accounts of a customer, one for each rank of its calls."""

from __future__ import annotations

from typing import Final

_SEPARATOR: Final = "\0"
MAX_RANK: Final = 9
"""Calls of lower priority share one account."""


def build_account_key(subject: str, rank: int) -> str:
    """Return the key of the account of a subject's calls of a rank."""
    if rank <= 0:
        return subject
    return f"{subject}{_SEPARATOR}{min(rank, MAX_RANK)}"


def split_account_key(key: str) -> tuple[str, int]:
    """Return the subject and rank of an account."""
    subject, _, rank = key.partition(_SEPARATOR)
    return subject, int(rank) if rank else 0
