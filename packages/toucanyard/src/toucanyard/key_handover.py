"""Transfer the ended keys of a node in a planned stop to one or two of its peers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec

from toucanyard.claim_events import (
    ClaimAction,
    PeerView,
)
from toucanyard.key_messages import (
    HandoverAnnounced,
    KeysAccepted,
    TransferKeys,
    TransferredKey,
)
from toucanyard.key_table import KeyTable
from toucanyard.names import (
    NodeId,
)

_HOLDERS: Final = 2
_MAX_BATCH_KEYS: Final = 256
_MAX_BATCH_BYTES: Final = 128_000
_MAX_ANSWER_BYTES: Final = 1_000_000
_KEY_BYTES: Final = 200
_ACK_TIMEOUT_RESENDS: Final = 5
_TRANSFER_SHARE: Final = 0.8
"""Share of the handover time for the transfer; the rest is for announcing holders."""
_ANNOUNCEMENTS: Final = 3


@dataclass(slots=True)
class _Receiver:
    """A peer to which the keys are transferred, one batch at a time."""

    peer: NodeId
    batch: int = 0
    start: int = 0
    """Number of keys that it has accepted."""
    end: int = 0
    """End of the batch in flight."""
    sent_ms: float = float("-inf")


class KeyHandover:
    """The key handover of one stopping node.

    Invariants: only ended keys are transferred, so no step can make a key run; the
    holders are announced only after the last key was transferred to them.
    """

    __slots__ = (
        "_announced_ms",
        "_announcements",
        "_batches",
        "_begun_ms",
        "_table",
        "_holders",
        "_keys",
        "_max_accepted",
        "_receivers",
        "_refused_by",
        "is_done",
    )

    def __init__(self, table: KeyTable) -> None:
        self._table = table
        self._begun_ms: float | None = None
        self._keys: list[TransferredKey] = []
        self._receivers: list[_Receiver] = []
        self._refused_by: set[NodeId] = set()
        self._holders: list[NodeId] = []
        self._max_accepted = 0
        self._batches = 0
        self._announcements = 0
        self._announced_ms = 0.0
        self.is_done = False

    def is_begun(self) -> bool:
        """Return whether the handover has begun, so that no new keys are accepted."""
        return self._begun_ms is not None

    def count_left(self) -> int:
        """Return how many keys no peer has accepted; their results would be lost."""
        return len(self._keys) - self._max_accepted

    def begin(self, now_ms: float) -> Iterator[ClaimAction]:
        """Begin to transfer the keys that have ended so far."""
        self._begun_ms = now_ms
        self._keys = [
            _drop_large_answer(key) for key in self._table.list_transferable()
        ]
        if not self._keys:
            self.is_done = True
            return
        yield from self._continue(now_ms)

    def handle_ack(
        self, sender: NodeId, ack: KeysAccepted, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Send the next batch, or choose another peer after a refusal."""
        if self._begun_ms is None or self._announcements > 0:
            return
        for receiver in self._receivers:
            if receiver.peer != sender or receiver.batch != ack.batch:
                continue
            if ack.is_taken:
                receiver.start = receiver.end
                self._max_accepted = max(self._max_accepted, receiver.start)
                receiver.sent_ms = float("-inf")
                if sender not in self._holders:
                    self._holders.append(sender)
            else:
                self._refused_by.add(sender)
        yield from self._continue(now_ms)

    def tick(self, now_ms: float) -> Iterator[ClaimAction]:
        """Resend messages that may have been lost, and end the handover in time."""
        if self._begun_ms is None or self.is_done:
            return
        if self._announcements == 0:
            yield from self._continue(now_ms)
            return
        if now_ms - self._announced_ms < self._table.limits.resend_ms:
            return
        is_logged = not self._table.has_unconfirmed() or not self._table.is_log_up
        if self._announcements >= _ANNOUNCEMENTS and is_logged:
            self.is_done = True
        else:
            yield from self._announce(now_ms)

    def _continue(self, now_ms: float) -> Iterator[ClaimAction]:
        assert self._begun_ms is not None
        self._choose_receivers()
        unfinished = [each for each in self._receivers if each.start < len(self._keys)]
        limit_ms = self._table.limits.hand_over_ms * _TRANSFER_SHARE
        is_over = not unfinished and bool(self._table.peers)
        if is_over or now_ms - self._begun_ms >= limit_ms:
            yield from self._announce(now_ms)
            return
        ack_timeout_ms = self._table.limits.resend_ms * _ACK_TIMEOUT_RESENDS
        for receiver in unfinished:
            if now_ms - receiver.sent_ms >= ack_timeout_ms:
                yield from self._send_batch(receiver, now_ms)

    def _choose_receivers(self) -> None:
        """Replace receivers that are gone or refused; prefer other failure domains."""
        live = [
            peer
            for peer in self._table.peers
            if NodeId(peer.node, peer.incarnation) not in self._refused_by
        ]
        known = {NodeId(peer.node, peer.incarnation) for peer in live}
        self._receivers = [each for each in self._receivers if each.peer in known]
        self._table.rng.shuffle(live)
        live.sort(key=_is_same_domain)
        for peer in live:
            if len(self._receivers) >= _HOLDERS:
                return
            chosen = NodeId(peer.node, peer.incarnation)
            if all(each.peer != chosen for each in self._receivers):
                self._receivers.append(_Receiver(chosen))

    def _send_batch(self, receiver: _Receiver, now_ms: float) -> Iterator[ClaimAction]:
        if receiver.end <= receiver.start:
            receiver.end = self._find_end(receiver.start)
            self._batches += 1
            receiver.batch = self._batches
        receiver.sent_ms = now_ms
        keys = tuple(self._keys[receiver.start : receiver.end])
        message = TransferKeys(receiver.peer.incarnation, receiver.batch, keys)
        yield from self._table.send(receiver.peer, message)

    def _find_end(self, start: int) -> int:
        size_bytes = 0
        end = start
        for key in self._keys[start : start + _MAX_BATCH_KEYS]:
            size_bytes += _compute_size_bytes(key)
            if end > start and size_bytes > _MAX_BATCH_BYTES:
                break
            end += 1
        return end

    def _announce(self, now_ms: float) -> Iterator[ClaimAction]:
        """Announce the holders of the keys in the log and to all peers.

        The log reaches nodes without a link and those that start later; the messages
        to peers cover an outage of the log.
        """
        holders = tuple(self._holders)
        self._announced_ms = now_ms
        self._announcements += 1
        if self._announcements == 1:
            yield from self._table.append_handover(holders)
        for peer in self._table.peers:
            message = HandoverAnnounced(peer.incarnation, holders)
            yield from self._table.send(NodeId(peer.node, peer.incarnation), message)


def _is_same_domain(peer: PeerView) -> bool:
    return not peer.is_other_domain


def _drop_large_answer(key: TransferredKey) -> TransferredKey:
    """Drop an answer so large that it would delay all other keys."""
    if key.answer is None or len(key.answer.body) <= _MAX_ANSWER_BYTES:
        return key
    return msgspec.structs.replace(key, answer=None)


def _compute_size_bytes(key: TransferredKey) -> int:
    body = key.answer.body if key.answer is not None else b""
    return _KEY_BYTES + len(key.name.key) + len(body)
