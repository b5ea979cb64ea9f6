"""Record which weights replicas have, and ask those whose statements disagree.

A refusal for other weights shows that the replica lacks the expected ones. Which ones
it has is known only if it states them; otherwise its report is requested.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName, NodeName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.relay_events import ReadReplicaState, ReplicaStateRead
from toucanyard.replicas import KnownReplica, ReplicaDirectory

CHECK_INTERVAL_MS: Final = 500.0
"""Time between two requests for the report of a replica in doubt."""
MAX_CHECK_MS: Final = 3_000.0
"""Time after which a replica that has not reported is no longer asked."""
REPORT_LAG_MS: Final = 1_000.0
"""Maximum age of the figures in a report when it is sent."""


class WeightsSource(enum.StrEnum):
    """Where a node has learned a replica's weights version."""

    ANSWER = "answer"
    PEER = "peer"
    REPORT = "report"


class _Check(msgspec.Struct):
    since_ms: float
    asked_ms: float = float("-inf")


NO_PEER: Final = NodeName("")


class ReplicaWeights:
    """Weights of replicas that the store does not show yet, and checks of them."""

    __slots__ = (
        "_block_index",
        "_changes",
        "_checks",
        "_directory",
        "_doubts",
        "_log_entries",
        "doubt_count",
    )

    def __init__(
        self, directory: ReplicaDirectory, block_index: PromptBlockIndex
    ) -> None:
        self._directory = directory
        self._block_index = block_index
        self._changes = LogRateLimit("replica_weights")
        self._doubts = LogRateLimit("replica_weights_doubted")
        self._log_entries: list[LogEntry] = []
        self._checks: dict[EndpointName, _Check] = {}
        self.doubt_count = 0
        """Number of times that a replica contradicted what this node knew of it."""

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
        self._checks.pop(known.replica.name, None)
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

    def record_report(self, read: ReplicaStateRead, now_ms: float) -> None:
        """Record the weights in a report of the incarnation that was asked."""
        known = self._directory.find(read.replica)
        if known is None or read.state is None:
            return
        for model, version in read.state.weights:
            self.record(known, model, version, WeightsSource.REPORT, now_ms)
        check = self._checks.get(read.replica)
        if check is not None and read.asked_ms - REPORT_LAG_MS >= check.since_ms:
            del self._checks[read.replica]

    def record_refused(
        self, known: KnownReplica, model: str, expected: int | None, now_ms: float
    ) -> None:
        """Record that a replica refused a call that expected a weights version.

        If it is still taken to have that version, it gets no calls for a moment and is
        asked.
        """
        if expected is None or known.weights.get(model) != expected:
            return
        known.record_refused_call(now_ms)
        self._add_doubt(known, model, "refusal", now_ms)

    def list_checks(self, now_ms: float) -> Iterator[ReadReplicaState]:
        """Return the reports to request now."""
        for name, check in list(self._checks.items()):
            known = self._directory.find(name)
            is_over = now_ms - check.since_ms > MAX_CHECK_MS
            if known is None or known.gone_ms is not None or is_over:
                del self._checks[name]
            elif now_ms - check.asked_ms >= CHECK_INTERVAL_MS:
                check.asked_ms = now_ms
                replica = known.replica
                yield ReadReplicaState(name, replica.listed_as, replica.address)

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries about changes and doubts."""
        entries, self._log_entries = self._log_entries, []
        return entries

    def _add_doubt(
        self, known: KnownReplica, model: str, reason: str, now_ms: float
    ) -> None:
        name = known.replica.name
        self.doubt_count += 1
        if name not in self._checks:
            self._checks[name] = _Check(now_ms)
        fields: dict[str, object] = {
            "replica": name,
            "model": model,
            "version": known.weights.get(model, 0),
            "reason": reason,
        }
        self._log_entries += self._doubts.log(fields, now_ms)
