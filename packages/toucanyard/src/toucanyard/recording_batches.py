"""Gather notes for the witnesses of issued keys, and match the answers to them.

A note names its key by 16 bytes, and its answer names only the batch, since nodes that
run nothing but keyed requests would spend most of their control traffic on notes.
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
    """Keys that one message asks one witness to note."""

    backup: NodeId
    names: tuple[KeyName, ...]
    sent_ms: float


class RecordingBatches:
    """Notes that wait to be sent, and batches that wait for their answer.

    Invariants: a batch's number is never used again, and its answer counts once and
    only from the witness that it was sent to.
    """

    __slots__ = (
        "_gather_ms",
        "_keep_ms",
        "_last",
        "_sent_ms",
        "_under_way",
        "_waiting",
    )

    def __init__(self, gather_ms: float, keep_ms: float) -> None:
        self._gather_ms = gather_ms
        self._keep_ms = keep_ms
        self._waiting: dict[tuple[NodeId, int], list[KeyName]] = {}
        self._under_way: dict[int, RecordingBatch] = {}
        self._last = 0
        self._sent_ms = float("-inf")

    def add(self, backup: NodeId, ledger: int, name: KeyName) -> None:
        """Let a key wait for the next batch to its witness."""
        self._waiting.setdefault((backup, ledger), []).append(name)

    def is_due(self, now_ms: float) -> bool:
        """Return whether a note may go out at once, since none did a short time ago."""
        return now_ms - self._sent_ms >= self._gather_ms

    def pop_batches(
        self, is_wanted: Callable[[KeyName], bool], now_ms: float
    ) -> Iterator[tuple[NodeId, RecordKeys]]:
        """Take all that waits and is still wanted, as messages to the witnesses."""
        waiting, self._waiting = self._waiting, {}
        for (backup, ledger), names in waiting.items():
            wanted = [name for name in names if is_wanted(name)]
            for start in range(0, len(wanted), _MAX_BATCH):
                batch = tuple(wanted[start : start + _MAX_BATCH])
                yield backup, self._build(backup, ledger, batch, now_ms)

    def match_answer(
        self, sender: NodeId, answer: KeysRecorded
    ) -> RecordingBatch | None:
        """Return the batch that a witness answers; None for a late or foreign one."""
        batch = self._under_way.get(answer.batch)
        if batch is None or batch.backup != sender:
            return None
        return self._under_way.pop(answer.batch)

    def forget_old(self, now_ms: float) -> None:
        """Forget batches whose keys have been asked for again meanwhile."""
        while self._under_way:
            number = next(iter(self._under_way))
            if now_ms - self._under_way[number].sent_ms < self._keep_ms:
                return
            del self._under_way[number]

    def _build(
        self, backup: NodeId, ledger: int, names: tuple[KeyName, ...], now_ms: float
    ) -> RecordKeys:
        self._last += 1
        self._sent_ms = now_ms
        self._under_way[self._last] = RecordingBatch(backup, names, now_ms)
        key_fingerprints = tuple(compute_key_fingerprint(name) for name in names)
        return RecordKeys(backup.incarnation, ledger, self._last, key_fingerprints)
