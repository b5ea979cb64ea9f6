"""Gather notes for the witnesses of issued keys, and match the answers to them.

A note names its key by 16 bytes, and its answer names only the batch, since nodes that
run nothing but keyed requests would spend most of their control traffic on notes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from toucanyard.key_messages import KeysNoted, NoteKeys
from toucanyard.key_records import KeyName, compute_mark
from toucanyard.names import NodeId

_MAX_BATCH: Final = 256


@dataclass(slots=True)
class NoteBatch:
    """Keys that one message asks one witness to note."""

    witness: NodeId
    names: tuple[KeyName, ...]
    sent_ms: float


class NoteBatches:
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
        self._under_way: dict[int, NoteBatch] = {}
        self._last = 0
        self._sent_ms = float("-inf")

    def add(self, witness: NodeId, ledger: int, name: KeyName) -> None:
        """Let a key wait for the next batch to its witness."""
        self._waiting.setdefault((witness, ledger), []).append(name)

    def is_due(self, now_ms: float) -> bool:
        """Tell whether a note may go out at once, since none did a short time ago."""
        return now_ms - self._sent_ms >= self._gather_ms

    def take(
        self, is_wanted: Callable[[KeyName], bool], now_ms: float
    ) -> Iterator[tuple[NodeId, NoteKeys]]:
        """Take all that waits and is still wanted, as messages to the witnesses."""
        waiting, self._waiting = self._waiting, {}
        for (witness, ledger), names in waiting.items():
            wanted = [name for name in names if is_wanted(name)]
            for start in range(0, len(wanted), _MAX_BATCH):
                batch = tuple(wanted[start : start + _MAX_BATCH])
                yield witness, self._build(witness, ledger, batch, now_ms)

    def take_answer(self, sender: NodeId, answer: KeysNoted) -> NoteBatch | None:
        """Return the batch that a witness answers; None for a late or foreign one."""
        batch = self._under_way.get(answer.batch)
        if batch is None or batch.witness != sender:
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
        self, witness: NodeId, ledger: int, names: tuple[KeyName, ...], now_ms: float
    ) -> NoteKeys:
        self._last += 1
        self._sent_ms = now_ms
        self._under_way[self._last] = NoteBatch(witness, names, now_ms)
        marks = tuple(compute_mark(name) for name in names)
        return NoteKeys(witness.incarnation, ledger, self._last, marks)
