"""Record and revoke keys of other issuers that name this node as backup node.

Recording and revoking are atomic steps in the memory of one task, so only one of the
two can ever succeed for a key.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from toucanyard.key_messages import (
    LedgerStatus,
)
from toucanyard.key_records import (
    KeyName,
    compute_key_fingerprint,
)
from toucanyard.names import (
    NodeId,
)

_MAX_LEDGERS_PER_ISSUER: Final = 16


@dataclass(slots=True)
class _Ledger:
    owner: NodeId
    opened_ms: float
    status: dict[bytes, LedgerStatus] = field(default_factory=dict)


class BackupLedgers:
    """The ledgers that this node keeps for other issuers.

    Invariants: the status of a key in a ledger never changes once set; a ledger number
    is never reused, so a dropped ledger answers GONE for ever and can't revoke a key
    that it once recorded.
    """

    __slots__ = (
        "_keep_ms",
        "_key_count",
        "_ledgers",
        "_max_keys",
        "_next_ledger",
        "_requests",
    )

    def __init__(self, keep_ms: float, max_keys: int) -> None:
        self._keep_ms = keep_ms
        self._max_keys = max_keys
        self._key_count = 0
        self._next_ledger = 1
        self._ledgers: dict[int, _Ledger] = {}
        self._requests: dict[NodeId, dict[int, int]] = {}

    def open(self, owner: NodeId, request: int, now_ms: float) -> int:
        """Open a ledger, or return the one that the same request opened before."""
        opened = self._requests.setdefault(owner, {})
        if request not in opened:
            if len(opened) >= _MAX_LEDGERS_PER_ISSUER:
                self._drop(opened.pop(next(iter(opened))))
            opened[request] = self._next_ledger
            self._ledgers[self._next_ledger] = _Ledger(owner, now_ms)
            self._next_ledger += 1
        return opened[request]

    def record_key(
        self, owner: NodeId, ledger: int, fingerprint: bytes
    ) -> LedgerStatus:
        """Record a key unless it is revoked; return its status afterwards."""
        return self._set_once(owner, ledger, fingerprint, LedgerStatus.RECORDED)

    def revoke(self, owner: NodeId, ledger: int, name: KeyName) -> LedgerStatus:
        """Revoke a key unless it is recorded; return its status afterwards."""
        return self._set_once(
            owner, ledger, compute_key_fingerprint(name), LedgerStatus.REVOKED
        )

    def forget_old(self, now_ms: float) -> None:
        """Remove ledgers whose keys are all past the window."""
        for ledger in list(self._ledgers):
            if now_ms - self._ledgers[ledger].opened_ms < self._keep_ms:
                break
            self._drop(ledger)

    def _set_once(
        self, owner: NodeId, number: int, fingerprint: bytes, wanted: LedgerStatus
    ) -> LedgerStatus:
        ledger = self._ledgers.get(number)
        if ledger is None or ledger.owner != owner:
            return LedgerStatus.GONE
        status = ledger.status.get(fingerprint)
        if status is not None:
            return status
        if self._key_count >= self._max_keys:
            return LedgerStatus.GONE
        ledger.status[fingerprint] = wanted
        self._key_count += 1
        return wanted

    def _drop(self, number: int) -> None:
        ledger = self._ledgers.pop(number, None)
        if ledger is None:
            return
        self._key_count -= len(ledger.status)
        opened = self._requests.get(ledger.owner, {})
        for request in [each for each in opened if opened[each] == number]:
            del opened[request]
        if not opened:
            self._requests.pop(ledger.owner, None)
