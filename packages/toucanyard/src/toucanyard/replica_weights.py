"""Record which weights replicas have, whichever source shows it."""

from __future__ import annotations

import enum
from typing import Final

from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import NodeName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.replicas import KnownReplica


class WeightsSource(enum.StrEnum):
    """Where a node has learned a replica's weights version."""

    ANSWER = "answer"
    ASSUMED = "assumed"
    PEER = "peer"
    REPORT = "report"


NO_PEER: Final = NodeName("")


class ReplicaWeights:
    """Changes of replicas' weights that the store does not show yet."""

    __slots__ = ("_block_index", "_changes", "_log_entries")

    def __init__(self, block_index: PromptBlockIndex) -> None:
        self._block_index = block_index
        self._changes = LogRateLimit("replica_weights")
        self._log_entries: list[LogEntry] = []

    def record(
        self,
        known: KnownReplica,
        model: str,
        version: int,
        source: WeightsSource,
        now_ms: float,
        peer: NodeName = NO_PEER,
    ) -> bool:
        """Record a replica's weights version; return whether it is newer."""
        before = known.weights.get(model, 0)
        if not known.record_weights(model, version):
            return False
        # Loading weights discards everything cached under the previous ones.
        self._block_index.forget(known.replica.name)
        fields: dict[str, object] = {
            "replica": known.replica.name,
            "model": model,
            "before": before,
            "version": version,
            "source": source.value,
            "peer": peer,
        }
        self._log_entries += self._changes.log(fields, now_ms)
        return True

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries about changes."""
        entries, self._log_entries = self._log_entries, []
        return entries
