"""Issued keys: their text, the ledgers of a witness, and the issuer's own ledger.

An issued key names the one node incarnation that may ever dispatch it and one
witness incarnation. Noting and sealing a key are one step in the witness's memory,
so of the two only one can ever succeed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

import msgspec

from toucanyard.claim_messages import (
    KeyName,
    LedgerOpened,
    LedgerStatus,
    NodeId,
    OpenLedger,
    PeerView,
    SendToPeer,
)
from toucanyard.names import Incarnation, NodeName

_MARK: Final = "tk1"
_SEPARATOR: Final = "~"
_MAX_LEDGERS_PER_ISSUER: Final = 16


class IssuedKey(msgspec.Struct, frozen=True):
    """What the text of an issued key tells."""

    issuer: NodeId
    witness: NodeId | None
    """None when the issuer knew no other node."""
    ledger: int
    issued_ms: float
    """By the issuer's clock, which is the only one it is compared with."""


def format_prefix(key: IssuedKey, nonce: int) -> str:
    """Return the prefix that a caller puts before its own part of the key."""
    witness = key.witness or NodeId(NodeName(""), Incarnation(""))
    fields = (
        _MARK,
        key.issuer.node,
        key.issuer.incarnation,
        witness.node,
        witness.incarnation,
        str(key.ledger),
        str(int(key.issued_ms)),
        f"{nonce:016x}",
        "",
    )
    return _SEPARATOR.join(fields)


def parse_issued_key(key: str) -> IssuedKey | None:
    """Return what an issued key tells, or None when a caller chose the key."""
    fields = key.split(_SEPARATOR, 8)
    if len(fields) != 9 or fields[0] != _MARK:
        return None
    _, node, incarnation, witness, witness_incarnation, ledger, issued, _, _ = fields
    if not ledger.isdecimal() or not issued.isdecimal():
        return None
    return IssuedKey(
        NodeId(NodeName(node), Incarnation(incarnation)),
        NodeId(NodeName(witness), Incarnation(witness_incarnation))
        if witness
        else None,
        int(ledger),
        float(issued),
    )


@dataclass(slots=True)
class _Ledger:
    owner: NodeId
    opened_ms: float
    status: dict[KeyName, LedgerStatus] = field(default_factory=dict)


class WitnessLedgers:
    """What this node witnesses for others.

    Invariants: a key's status in a ledger never changes once set; a ledger's number
    is never used again, so a forgotten ledger answers GONE for ever and can't seal
    what it once noted.
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
        """Open a ledger, or return the one that this request opened before."""
        opened = self._requests.setdefault(owner, {})
        if request not in opened:
            if len(opened) >= _MAX_LEDGERS_PER_ISSUER:
                self._drop(opened.pop(next(iter(opened))))
            opened[request] = self._next_ledger
            self._ledgers[self._next_ledger] = _Ledger(owner, now_ms)
            self._next_ledger += 1
        return opened[request]

    def note(self, owner: NodeId, ledger: int, name: KeyName) -> LedgerStatus:
        """Note a key unless it is sealed; return its status afterwards."""
        return self._set_once(owner, ledger, name, LedgerStatus.NOTED)

    def seal(self, owner: NodeId, ledger: int, name: KeyName) -> LedgerStatus:
        """Seal a key unless it is noted; return its status afterwards."""
        return self._set_once(owner, ledger, name, LedgerStatus.SEALED)

    def forget_old(self, now_ms: float) -> None:
        """Forget ledgers all of whose keys are past the window."""
        for ledger in list(self._ledgers):
            if now_ms - self._ledgers[ledger].opened_ms < self._keep_ms:
                break
            self._drop(ledger)

    def _set_once(
        self, owner: NodeId, number: int, name: KeyName, wanted: LedgerStatus
    ) -> LedgerStatus:
        ledger = self._ledgers.get(number)
        if ledger is None or ledger.owner != owner:
            return LedgerStatus.GONE
        status = ledger.status.get(name)
        if status is not None:
            return status
        if self._key_count >= self._max_keys:
            return LedgerStatus.GONE
        ledger.status[name] = wanted
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


class KeyIssuer:
    """Issue key prefixes on a ledger that some other node has opened for this one."""

    __slots__ = (
        "_identity",
        "_ledger",
        "_ledger_ms",
        "_opened_ms",
        "_request",
        "_requested",
        "_requested_ms",
        "_witness",
    )

    def __init__(self, identity: NodeId, ledger_ms: float) -> None:
        self._identity = identity
        self._ledger_ms = ledger_ms
        self._witness: NodeId | None = None
        self._ledger = 0
        self._opened_ms = 0.0
        self._request = 0
        self._requested: NodeId | None = None
        self._requested_ms = 0.0

    def issue(self, now_ms: float, rng: random.Random) -> str:
        """Return a new prefix; without a ledger it names no witness."""
        key = IssuedKey(self._identity, self._witness, self._ledger, now_ms)
        return format_prefix(key, rng.getrandbits(64))

    def renew(
        self,
        peers: tuple[PeerView, ...],
        now_ms: float,
        resend_ms: float,
        rng: random.Random,
    ) -> list[SendToPeer]:
        """Ask for a ledger when there is none, it is old or its witness is gone."""
        live = {NodeId(peer.node, peer.incarnation) for peer in peers}
        if self._witness is not None and self._witness not in live:
            self._witness = None
        is_fresh = now_ms - self._opened_ms < self._ledger_ms
        if not peers or (self._witness is not None and is_fresh):
            return []
        if self._requested in live and now_ms - self._requested_ms < resend_ms * 10:
            return []
        elsewhere = [peer for peer in peers if peer.is_other_domain]
        chosen = rng.choice(elsewhere or list(peers))
        self._requested = NodeId(chosen.node, chosen.incarnation)
        self._requested_ms = now_ms
        self._request += 1
        message = OpenLedger(chosen.incarnation, self._request)
        return [SendToPeer(chosen.node, message)]

    def take_ledger(self, sender: NodeId, message: LedgerOpened, now_ms: float) -> None:
        """Take the ledger that was asked for last; ignore any other answer."""
        if sender != self._requested or message.request != self._request:
            return
        self._witness = sender
        self._ledger = message.ledger
        self._opened_ms = now_ms
        self._requested = None
