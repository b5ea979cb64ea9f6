"""Hold the state of one node's keys, with the transitions common to all of them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from typing import Final

from toucanyard.answer_cache import AnswerCache
from toucanyard.claim_events import (
    AllowDispatch,
    AppendRecord,
    ClaimAction,
    KeyedRequestArrived,
    PeerView,
    SendToPeer,
)
from toucanyard.claims import ClaimIndex
from toucanyard.errorcodes import ErrorKind
from toucanyard.issued_keys import IssuedKey
from toucanyard.key_answers import compose_status_reply, refuse
from toucanyard.key_entries import EndedKey, KeyEntry, Phase
from toucanyard.key_messages import (
    KeyMessage,
    KeyReport,
    KeyStatus,
    TransferredKey,
)
from toucanyard.key_records import (
    AbandonRecord,
    HandoverRecord,
    KeyName,
    encode_record,
)
from toucanyard.large_answer_throttle import is_forwardable
from toucanyard.names import (
    CustomerName,
    NodeId,
    RequestId,
)
from toucanyard.options import ClaimLimits
from toucanyard.requests import CachedAnswer
from toucanyard.stopped_nodes import StoppedNodes
from toucanyard.transferred_keys import TransferredKeys

_MAX_UNCONFIRMED_RECORDS: Final = 10_000


class KeyTable:
    """Keys in progress, ended and held for other nodes, the claim index, and the peers.

    Invariants: a key is in at most one of `_entries` and `_ended`; the status of an
    ended key never changes; a key is allowed only from its entry and only once.
    """

    __slots__ = (
        "_count_by_customer",
        "_ended",
        "_entries",
        "_answers",
        "_loopback",
        "_name_by_request",
        "_unconfirmed",
        "transferred",
        "identity",
        "index",
        "is_log_up",
        "limits",
        "peers",
        "rng",
        "stopped",
    )

    def __init__(
        self, identity: NodeId, limits: ClaimLimits, rng: random.Random
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.rng = rng
        max_claims = min(limits.max_claims, limits.max_keys)
        self.index = ClaimIndex(limits.window_ms, max_claims)
        self.peers: tuple[PeerView, ...] = ()
        self.is_log_up = False
        self.transferred = TransferredKeys(limits)
        self.stopped = StoppedNodes(2 * limits.window_ms)
        self._answers = AnswerCache(limits.kept_answers_bytes)
        self._entries: dict[KeyName, KeyEntry] = {}
        self._ended: dict[KeyName, EndedKey] = {}
        self._name_by_request: dict[RequestId, KeyName] = {}
        self._count_by_customer: Counter[CustomerName] = Counter()
        self._unconfirmed: dict[str, str] = {}
        self._loopback: list[KeyMessage] = []

    def __len__(self) -> int:
        return len(self._entries) + len(self._ended)

    def find_entry(self, name: KeyName) -> KeyEntry | None:
        """Return the key if it is in progress on this node."""
        return self._entries.get(name)

    def find_entries(self, phase: Phase | None = None) -> list[KeyEntry]:
        """Return the keys in progress, or those in one phase."""
        entries = self._entries.values()
        return [each for each in entries if phase in (None, each.phase)]

    def find_entry_of(self, request_id: RequestId) -> KeyEntry | None:
        """Return the key that a waiting or running request belongs to."""
        name = self._name_by_request.get(request_id)
        return None if name is None else self._entries.get(name)

    def find_ended(self, name: KeyName) -> EndedKey | None:
        """Return how the key ended here, unless it was claimed again since."""
        ended = self._ended.get(name)
        if ended is None or not ended.claim_id:
            return ended
        claim = self.index.find(name)
        is_replaced = claim is not None and claim.claim_id != ended.claim_id
        return None if is_replaced else ended

    def is_full(self, customer: CustomerName) -> bool:
        """Return whether there is no room for another key of a customer."""
        if len(self) >= self.limits.max_keys:
            return True
        # Without the share, one large customer would use up the room of all others.
        allowed = self.limits.max_keys * self.limits.max_customer_share
        return self._count_by_customer[customer] >= max(allowed, 1)

    def is_in_window(self, issued: IssuedKey, now_ms: float) -> bool:
        """Return whether a key that this node issued has not expired."""
        return 0 <= now_ms - issued.issued_ms < self.limits.window_ms

    def is_replaced(self, node: NodeId) -> bool:
        """Return whether a different incarnation is known under this node's name."""
        if node.node == self.identity.node:
            return node != self.identity
        for peer in self.peers:
            if peer.node == node.node:
                return peer.incarnation != node.incarnation
        return False

    def is_gone(self, node: NodeId) -> bool:
        """Return whether this incarnation was replaced or has ended a planned stop."""
        return self.is_replaced(node) or self.stopped.is_stopped(node)

    def add(self, entry: KeyEntry, event: KeyedRequestArrived) -> None:
        """Add a key with its first attempt on this node."""
        self._entries[entry.name] = entry
        self._count_by_customer[entry.name.customer] += 1
        self.add_waiting(entry, event)

    def add_waiting(self, entry: KeyEntry, event: KeyedRequestArrived) -> None:
        """Add an attempt that waits for the key."""
        entry.waiting[event.request_id] = event
        self._name_by_request[event.request_id] = entry.name

    def remove_waiting(self, entry: KeyEntry, request_id: RequestId) -> None:
        """Remove an attempt that waits for the key."""
        entry.waiting.pop(request_id, None)
        self._name_by_request.pop(request_id, None)

    def remove(self, entry: KeyEntry) -> None:
        """Remove a key that is no longer in progress on this node."""
        if self._entries.pop(entry.name, None) is not None:
            self._uncount(entry.name)
        for request_id in entry.waiting:
            self._name_by_request.pop(request_id, None)
        if entry.running is not None:
            self._name_by_request.pop(entry.running, None)

    def store_ended(self, name: KeyName, ended: EndedKey) -> None:
        """Store how a key ended."""
        if self._ended.pop(name, None) is None:
            self._count_by_customer[name.customer] += 1
        self._ended[name] = ended

    def store_answer(self, entry: KeyEntry, answer: CachedAnswer) -> None:
        """Store the complete answer of a key for its other attempts."""
        self._answers.keep(entry.name, answer)

    def allow(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """Allow the first attempt whose deadline has not passed, or revoke the key."""
        chosen = entry.find_first_eligible(now_ms)
        if chosen is None:
            yield from self.revoke(entry, now_ms)
            return
        entry.phase = Phase.ALLOWED
        entry.running = chosen.request_id
        del entry.waiting[chosen.request_id]
        yield AllowDispatch(chosen.request_id)
        for other in list(entry.waiting.values()):
            if other.body_digest != entry.digest:
                self.remove_waiting(entry, other.request_id)
                yield self.compose_running_reply(other, entry, now_ms)

    def revoke(self, entry: KeyEntry, now_ms: float) -> Iterator[ClaimAction]:
        """End a key owned by this node as never dispatched."""
        if entry.claim_id:
            yield from self.abandon(entry.claim_id, entry.name)
        yield from self.finish(entry, KeyStatus.NOT_RUN, now_ms)

    def abandon(self, claim_id: str, name: KeyName) -> Iterator[ClaimAction]:
        """Append a record that the winning claim of a key is never dispatched."""
        self.index.abandon(claim_id, name)
        record_id = f"abandon-{claim_id}"
        self._unconfirmed[record_id] = encode_record(AbandonRecord(claim_id, name))
        if len(self._unconfirmed) > _MAX_UNCONFIRMED_RECORDS:
            del self._unconfirmed[next(iter(self._unconfirmed))]
        if self.is_log_up:
            yield AppendRecord(record_id, self._unconfirmed[record_id], is_urgent=False)

    def append_handover(self, holders: tuple[NodeId, ...]) -> Iterator[ClaimAction]:
        """Append a record of the nodes that hold this node's ended keys."""
        record_id = self._compose_handover_id()
        record = HandoverRecord(self.identity, holders)
        self._unconfirmed[record_id] = encode_record(record)
        if self.is_log_up:
            yield AppendRecord(record_id, self._unconfirmed[record_id], is_urgent=True)

    def record_stopped(
        self, stopped: NodeId, holders: tuple[NodeId, ...], now_ms: float
    ) -> None:
        """Record which nodes hold the ended keys of a node after a planned stop."""
        self.stopped.record_stop(stopped, holders, now_ms)
        if stopped == self.identity:
            self.confirm_record(self._compose_handover_id())

    def has_unconfirmed(self) -> bool:
        """Return whether a record of this node may be missing from the log."""
        return bool(self._unconfirmed)

    def append_unconfirmed(self) -> Iterator[ClaimAction]:
        """Append again the records that may be missing from the log."""
        for record_id, text in self._unconfirmed.items():
            yield AppendRecord(record_id, text, is_urgent=False)

    def confirm_record(self, record_id: str) -> None:
        """Drop a record that is known to be in the log."""
        self._unconfirmed.pop(record_id, None)

    def finish(
        self, entry: KeyEntry, status: KeyStatus, now_ms: float
    ) -> Iterator[ClaimAction]:
        """Store how a key ended here and answer all waiting attempts and peers."""
        ended = EndedKey(status, entry.digest, now_ms, entry.claim_id)
        self.store_ended(entry.name, ended)
        self.remove(entry)
        for waiting in entry.waiting.values():
            yield self.compose_ended_reply(waiting, ended, now_ms)
        for asker, claim_id in entry.askers.items():
            report = self.compose_report(asker, entry.name, claim_id, ended)
            yield from self.send(asker, report)

    def compose_reply(
        self,
        event: KeyedRequestArrived,
        claim_id: str,
        status: KeyStatus,
        digest: bytes,
        answer: CachedAnswer | None,
        now_ms: float,
    ) -> ClaimAction:
        """Compose the reply to an attempt from the status of a claim or issued key.

        A claim past its window proves nothing about the key: the key may have been
        claimed again, and may have run under a claim that this node has not read yet.
        """
        is_other_body = bool(digest) and digest != event.body_digest
        is_denial = is_other_body or status is KeyStatus.NOT_RUN
        name = KeyName(event.customer, event.key)
        if is_denial and claim_id and not self.index.is_fresh(name, claim_id, now_ms):
            return refuse(event, ErrorKind.OUTCOME_UNKNOWN, self.rng)
        return compose_status_reply(event, status, digest, answer, self.rng)

    def compose_ended_reply(
        self, event: KeyedRequestArrived, ended: EndedKey, now_ms: float
    ) -> ClaimAction:
        """Compose the reply to an attempt of a key that ended on this node."""
        answer = self._answers.find(KeyName(event.customer, event.key))
        return self.compose_reply(
            event, ended.claim_id, ended.status, ended.digest, answer, now_ms
        )

    def compose_running_reply(
        self, event: KeyedRequestArrived, entry: KeyEntry, now_ms: float
    ) -> ClaimAction:
        """Compose the reply to an attempt that can't wait for a key in progress."""
        return self.compose_reply(
            event, entry.claim_id, KeyStatus.RUNNING, entry.digest, None, now_ms
        )

    def compose_report(
        self, to: NodeId, name: KeyName, claim_id: str, ended: EndedKey
    ) -> KeyReport:
        """Compose the report on an ended key for a peer."""
        answer = None
        status = ended.status
        if status is KeyStatus.ANSWERED:
            answer = self._answers.find(name)
            if answer is not None and not is_forwardable(answer):
                answer = None
            # The request ran, but its answer is too large for a message or was evicted.
            status = KeyStatus.UNKNOWN if answer is None else status
        return KeyReport(to.incarnation, name, claim_id, status, ended.digest, answer)

    def list_transferable(self) -> list[TransferredKey]:
        """Return all ended keys that this node knows, the latest first."""
        own = [
            TransferredKey(name, ended.claim_id, ended.status, ended.digest, answer)
            for name, ended in reversed(self._ended.items())
            for answer in (self._answers.find(name),)
        ]
        return own + self.transferred.list_all()

    def send(self, to: NodeId, message: KeyMessage) -> Iterator[ClaimAction]:
        """Send a message to a peer or, by loopback, to this node itself."""
        if to == self.identity:
            self._loopback.append(message)
        else:
            yield SendToPeer(to.node, message)

    def pop_loopback(self) -> list[KeyMessage]:
        """Remove and return the messages that this node sent to itself."""
        taken = self._loopback
        self._loopback = []
        return taken

    def forget_old(self, now_ms: float) -> None:
        """Remove everything that is older than the window."""
        self.index.forget_old(now_ms)
        self.transferred.forget_old(now_ms)
        self.stopped.forget_old(now_ms)
        old = []
        for name, ended in self._ended.items():
            if now_ms - ended.ended_ms < self.limits.window_ms:
                break
            old.append(name)
        for name in old:
            del self._ended[name]
            self._uncount(name)
            self._answers.drop(name)

    def _compose_handover_id(self) -> str:
        return f"handed-over-{self.identity.incarnation}"

    def _uncount(self, name: KeyName) -> None:
        self._count_by_customer[name.customer] -= 1
        if self._count_by_customer[name.customer] == 0:
            del self._count_by_customer[name.customer]
