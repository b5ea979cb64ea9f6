"""Issue key prefixes, each backed by a ledger in another failure domain."""

from __future__ import annotations

import random
from typing import Final

from toucanyard.claim_events import (
    PeerView,
    SendToPeer,
)
from toucanyard.issued_keys import IssuedKey, format_prefix
from toucanyard.key_messages import (
    LedgerOpened,
    OpenLedger,
)
from toucanyard.names import (
    NodeId,
)

_REQUEST_TIMEOUT_RESENDS: Final = 10


class KeyIssuer:
    """Issues key prefixes and keeps a ledger open on a backup node for them."""

    __slots__ = (
        "_identity",
        "_ledger",
        "_ledger_ms",
        "_max_age_ms",
        "_opened_ms",
        "_request",
        "_requested",
        "_requested_ms",
        "_backup",
    )

    def __init__(self, identity: NodeId, ledger_ms: float, max_age_ms: float) -> None:
        self._max_age_ms = max_age_ms
        self._identity = identity
        self._ledger_ms = ledger_ms
        self._backup: NodeId | None = None
        self._ledger = 0
        self._opened_ms = 0.0
        self._request = 0
        self._requested: NodeId | None = None
        self._requested_ms = 0.0

    def issue(self, now_ms: float, rng: random.Random) -> str:
        """Return a new prefix; without a usable ledger it names no backup node."""
        # A backup node drops old ledgers. After a pause, a key issued on such a ledger
        # would be refused although its issuer is healthy.
        is_usable = now_ms - self._opened_ms < self._max_age_ms
        backup = self._backup if is_usable else None
        key = IssuedKey(self._identity, backup, self._ledger, now_ms)
        return format_prefix(key, rng.getrandbits(64))

    def renew(
        self,
        peers: tuple[PeerView, ...],
        now_ms: float,
        resend_ms: float,
        rng: random.Random,
    ) -> list[SendToPeer]:
        """Request a ledger if there is none, it is old or its backup node is gone."""
        live = {NodeId(peer.node, peer.incarnation) for peer in peers}
        if self._backup is not None and self._backup not in live:
            self._backup = None
        is_fresh = now_ms - self._opened_ms < self._ledger_ms
        if not peers or (self._backup is not None and is_fresh):
            return []
        if (
            self._requested in live
            and now_ms - self._requested_ms < resend_ms * _REQUEST_TIMEOUT_RESENDS
        ):
            return []
        elsewhere = [peer for peer in peers if peer.is_other_domain]
        chosen = rng.choice(elsewhere or list(peers))
        self._requested = NodeId(chosen.node, chosen.incarnation)
        self._requested_ms = now_ms
        self._request += 1
        message = OpenLedger(chosen.incarnation, self._request)
        return [SendToPeer(chosen.node, message)]

    def accept_ledger(self, sender: NodeId, message: LedgerOpened) -> None:
        """Use the ledger that was requested last; ignore any other answer."""
        if sender != self._requested or message.request != self._request:
            return
        self._backup = sender
        self._ledger = message.ledger
        # Lower bound: the ledger was opened after the request for it.
        self._opened_ms = self._requested_ms
        self._requested = None
