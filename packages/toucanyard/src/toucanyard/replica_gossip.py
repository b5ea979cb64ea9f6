"""Exchange replica state that nodes know before the store shows it.

A replica that is about to load weights rejects calls, and one that has loaded them
should get calls at once; the store shows both about half a second late.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Set
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaRestart, ReplicaUpdate
from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName, NodeName
from toucanyard.replica_weights import UPDATE_TTL_MS, ReplicaWeights
from toucanyard.replicas import LEAVE_REPORT_MS, KnownReplica, ReplicaDirectory
from toucanyard.seen_updates import SeenUpdates, new_update_id
from toucanyard.stated_weights import UNKNOWN_MS

PAUSE_TOLERANCE_MS: Final = 300.0
"""A pause that ends this much later is a new one; holders renew theirs for longer."""
MAX_SEEN_UPDATES: Final = 1_000
"""Update ids that are kept: several seconds of a rollout to 70 replicas."""


class _Pause(msgspec.Struct, frozen=True):
    pause_id: int
    until_ms: float
    """In this node's time, as computed when the update was sent or received."""


class ReplicaGossip:
    """Updates on replicas, from this node and from its peers."""

    __slots__ = (
        "_changed_ms",
        "_changing",
        "_directory",
        "_leaves",
        "_log_entries",
        "_pauses",
        "_rng",
        "_seen",
        "_weights",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        weights: ReplicaWeights,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._weights = weights
        self._rng = rng
        self._leaves = LogRateLimit("replica_leaving")
        self._log_entries: list[LogEntry] = []
        self._pauses: dict[EndpointName, _Pause] = {}
        self._seen = SeenUpdates(MAX_SEEN_UPDATES)
        self._changing: set[EndpointName] = set()
        self._changed_ms: dict[EndpointName, float] = {}

    def record_change(self, name: EndpointName, now_ms: float) -> None:
        """Record that this node has observed a change that peers should learn of."""
        self._changed_ms[name] = now_ms

    def record_changing(self, names: Set[EndpointName], now_ms: float) -> bool:
        """Set which replicas this node is changing; return whether the set differs."""
        if names == self._changing:
            return False
        for name in names | self._changing:
            self.record_change(name, now_ms)
        self._changing = set(names)
        return True

    def list_updates(self, now_ms: float) -> Iterator[ReplicaUpdate]:
        """Return the updates to send to peers, and drop expired ones."""
        for name, changed_ms in list(self._changed_ms.items()):
            known = self._directory.find(name)
            is_old = now_ms - changed_ms > UPDATE_TTL_MS and name not in self._changing
            if known is None or is_old:
                del self._changed_ms[name]
                self._pauses.pop(name, None)
                continue
            yield self._build(known, now_ms)

    def _build(self, known: KnownReplica, now_ms: float) -> ReplicaUpdate:
        name, weights = known.replica.name, tuple(known.weights.items())
        is_stated = known.leave_stated_ms is not None
        is_leaving = is_stated or known.is_reported_leaving(now_ms)
        until_ms = known.loading_until_ms
        stated_ms = known.stated_weights.find_end()
        age_ms = None if stated_ms == UNKNOWN_MS else now_ms - stated_ms
        if until_ms <= now_ms:
            return ReplicaUpdate(
                name, 0.0, weights, is_leaving=is_leaving, weights_age_ms=age_ms
            )
        pause = self._pauses.get(name)
        if pause is None or pause.until_ms != until_ms:
            # Begun or renewed by this node since it last sent or received an update.
            pause = self._pauses[name] = _Pause(new_update_id(self._rng), until_ms)
            self._seen.add(pause.pause_id)
        return ReplicaUpdate(
            name, until_ms - now_ms, weights, pause.pause_id, is_leaving, age_ms
        )

    def list_restarts(self, now_ms: float) -> Iterable[ReplicaRestart]:
        """Return the replicas that have recently restarted."""
        return self._directory.list_restarted(now_ms)

    def apply_restarts(self, received: Iterable[ReplicaRestart], now_ms: float) -> None:
        """Apply the restarts of replicas that a peer knows of."""
        for restart in received:
            self._directory.record_incarnation(
                restart.listed_as, restart.born_ms, now_ms
            )

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries about peers' updates."""
        entries, self._log_entries = self._log_entries, []
        return entries

    def apply(
        self, received: Iterable[ReplicaUpdate], sender: NodeName, now_ms: float
    ) -> bool:
        """Apply a peer's updates; return whether they should be forwarded."""
        has_changed = False
        for update in received:
            known = self._directory.find(update.replica)
            if known is None:
                continue
            is_new_leave = update.is_leaving and self._apply_leave_report(
                known, sender, now_ms
            )
            if self._apply_one(known, update, sender, now_ms) or is_new_leave:
                self._changed_ms[update.replica] = now_ms
                has_changed = True
        return has_changed

    def _apply_leave_report(
        self, known: KnownReplica, sender: NodeName, now_ms: float
    ) -> bool:
        """Record a peer's report that a replica leaves; return whether it is new."""
        if known.has_left() or known.is_reported_leaving(now_ms):
            return False
        known.leave_reported_until_ms = now_ms + LEAVE_REPORT_MS
        fields: dict[str, object] = {
            "replica": known.replica.name,
            "source": sender,
            "is_recorded": False,
        }
        self._log_entries += self._leaves.log(fields, now_ms)
        return True

    def _apply_one(
        self,
        known: KnownReplica,
        update: ReplicaUpdate,
        sender: NodeName,
        now_ms: float,
    ) -> bool:
        has_changed = False
        is_old = any(
            version < known.weights.get(model, 0) for model, version in update.weights
        )
        until_ms = now_ms + update.loading_left_ms
        # A peer may not know of a pause yet, so an update without one does not end it,
        # and an update from before new weights were loaded does not begin one. A pause
        # that is forwarded from node to node must not grow by the links' latency.
        is_longer = until_ms > known.loading_until_ms + PAUSE_TOLERANCE_MS
        is_new = update.pause_id not in self._seen
        if update.loading_left_ms > 0 and is_longer and is_new and not is_old:
            known.loading_until_ms = until_ms
            self._pauses[update.replica] = _Pause(update.pause_id, until_ms)
            self._seen.add(update.pause_id)
            has_changed = True
        return self._weights.record_update(known, update, sender, now_ms) or has_changed
