"""Batch requests to record issued keys on backup nodes, and match their answers.

A request identifies a key by 16 bytes and its answer names only the batch. Otherwise
nodes that serve only keyed requests would spend most of their control traffic on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from toucanyard.key_messages import KeysRecorded, RecordKeys
from toucanyard.key_records import KeyName, compute_key_fingerprint
from toucanyard.names import NodeId

_MAX_BATCH: Final = 256


@dataclass(slots=True)
class RecordingBatch:
    """The keys of one RecordKeys message to one backup node."""

    backup: NodeId
    names: tuple[KeyName, ...]
    sent_ms: float


class RecordingBatches:
    """Keys waiting to be sent, and batches waiting for their answer.

    Invariants: a batch number is never reused; an answer is accepted once, and only
    from the backup node that the batch was sent to.
    """

    __slots__ = (
        "_gather_ms",
        "_keep_ms",
        "_last",
        "_sent_ms",
        "_in_flight",
        "_waiting",
    )

    def __init__(self, gather_ms: float, keep_ms: float) -> None:
        self._gather_ms = gather_ms
        self._keep_ms = keep_ms
        self._waiting: dict[tuple[NodeId, int], list[KeyName]] = {}
        self._in_flight: dict[int, RecordingBatch] = {}
        self._last = 0
        self._sent_ms = float("-inf")

    def add(self, backup: NodeId, ledger: int, name: KeyName) -> None:
        """Queue a key for the next batch to its backup node."""
        self._waiting.setdefault((backup, ledger), []).append(name)

    def is_due(self, now_ms: float) -> bool:
        """Return whether a batch may be sent now, as none was sent recently."""
        return now_ms - self._sent_ms >= self._gather_ms

    def pop_batches(
        self, is_wanted: Callable[[KeyName], bool], now_ms: float
    ) -> Iterator[tuple[NodeId, RecordKeys]]:
        """Remove all queued keys and yield messages for those still wanted."""
        waiting, self._waiting = self._waiting, {}
        for (backup, ledger), names in waiting.items():
            wanted = [name for name in names if is_wanted(name)]
            for start in range(0, len(wanted), _MAX_BATCH):
                batch = tuple(wanted[start : start + _MAX_BATCH])
                yield backup, self._build(backup, ledger, batch, now_ms)

    def match_answer(
        self, sender: NodeId, answer: KeysRecorded
    ) -> RecordingBatch | None:
        """Return the answered batch; None for a late answer or another sender's."""
        batch = self._in_flight.get(answer.batch)
        if batch is None or batch.backup != sender:
            return None
        return self._in_flight.pop(answer.batch)

    def forget_old(self, now_ms: float) -> None:
        """Remove batches whose keys have been sent again since."""
        while self._in_flight:
            number = next(iter(self._in_flight))
            if now_ms - self._in_flight[number].sent_ms < self._keep_ms:
                return
            del self._in_flight[number]

    def _build(
        self, backup: NodeId, ledger: int, names: tuple[KeyName, ...], now_ms: float
    ) -> RecordKeys:
        self._last += 1
        self._sent_ms = now_ms
        self._in_flight[self._last] = RecordingBatch(backup, names, now_ms)
        key_fingerprints = tuple(compute_key_fingerprint(name) for name in names)
        return RecordKeys(backup.incarnation, ledger, self._last, key_fingerprints)
