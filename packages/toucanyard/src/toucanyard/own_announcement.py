"""Write this node's record again when the store has lost it.

A node writes its record once, when it starts. A store that is restored from an older
copy may lack it, or have that of an earlier incarnation of the node.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.keyed_view import KeyedView
from toucanyard.log_entries import LogEntry
from toucanyard.node_records import NodeRecord
from toucanyard.relay_events import AnnounceNode

MAX_DELAY_MS: Final = 500.0
"""Longest delay, drawn at random: many nodes may have started in the lost time."""
RETRY_MS: Final = 2_000.0
"""Time between two attempts."""


class OwnAnnouncement:
    """Whether the store has this node's record.

    Invariant: nothing is written before the first record, which the node writes at its
    start, has been accepted.
    """

    __slots__ = ("_due_ms", "_era", "_missing_era", "_record", "_rng", "_view")

    def __init__(self, record: NodeRecord, view: KeyedView, rng: random.Random) -> None:
        self._record = record
        self._view = view
        self._rng = rng
        self._era: int | None = None
        """Era of the store that accepted the record last."""
        self._missing_era = 0
        """Era in which the record was found missing last."""
        self._due_ms = 0.0

    def record_written(self, era: int) -> None:
        """Record that a store of an era has accepted the record."""
        self._era = era

    def tick(self, now_ms: float) -> Iterator[AnnounceNode | LogEntry]:
        """Write the record if the view of a restored store lacks it."""
        era = self._view.end.era
        if self._era is None or era <= self._era:
            return
        if self._view.find_stored(self._record.name) == self._record:
            self._era = era
            return
        if self._missing_era < era:
            self._missing_era = era
            self._due_ms = now_ms + self._rng.uniform(0.0, MAX_DELAY_MS)
        if now_ms < self._due_ms:
            return
        self._due_ms = now_ms + RETRY_MS
        yield LogEntry("record_written_again", {"kind": "node", "era": era})
        yield AnnounceNode(self._record)
