"""Record which weights replicas have, and ask those whose statements disagree.

A refusal for other weights shows that the replica lacks the expected ones. Which ones
it has is known only if it states them; otherwise its report is requested.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Iterator
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaUpdate
from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName, NodeName
from toucanyard.prompt_block_index import PromptBlockIndex
from toucanyard.relay_events import ReadReplicaState, ReplicaStateRead
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.stated_weights import UNKNOWN_MS, StatedSpan, WeightsChange

UPDATE_TTL_MS: Final = 5_000.0
"""How long a replica's new weights are sent to peers; after that the store shows
them."""
CHECK_INTERVAL_MS: Final = 500.0
"""Time between two requests for the report of a replica in doubt."""
MAX_CHECK_MS: Final = 3_000.0
"""Time after which a replica that has not reported is no longer asked."""
REPORT_LAG_MS: Final = 1_000.0
"""Maximum age of the figures in a report when it is sent."""
PEER_DELAY_MS: Final = 500.0
"""Time in which a peer learns of new weights that this node knows."""
ENTRY_DELAY_MS: Final = 3_000.0
"""Time in which the store shows new weights."""


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
        "_asked_for_entry",
        "_changes",
        "_checks",
        "_corrected",
        "_directory",
        "_doubts",
        "_log_entries",
        "_may_check",
        "block_index",
        "correction_count",
        "doubt_count",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        block_index: PromptBlockIndex,
        may_check: Callable[[float], bool] = lambda _: True,
    ) -> None:
        """`may_check`: whether this node checks what peers and entries show."""
        self._directory = directory
        self._may_check = may_check
        self.block_index = block_index
        self._changes = LogRateLimit("replica_weights")
        self._doubts = LogRateLimit("replica_weights_doubted")
        self._log_entries: list[LogEntry] = []
        self._checks: dict[EndpointName, _Check] = {}
        self._asked_for_entry: dict[EndpointName, tuple[str, int]] = {}
        """Replicas asked since their entries lag, with the model and version known."""
        self._corrected: list[EndpointName] = []
        self.correction_count = 0
        """Number of times that a replica had older weights than this node knew."""
        self.doubt_count = 0
        """Number of times that a replica contradicted what this node knew of it."""

    def record(
        self,
        known: KnownReplica,
        model: str,
        version: int,
        source: WeightsSource,
        span: StatedSpan,
        now_ms: float,
        peer: NodeName = NO_PEER,
    ) -> bool:
        """Record a statement about a replica's weights; return whether they change."""
        before = known.weights.get(model, 0)
        change = known.record_weights(model, version, span)
        if change is WeightsChange.NONE:
            return False
        self._checks.pop(known.replica.name, None)
        if change is WeightsChange.OLDER:
            self.correction_count += 1
            self._corrected.append(known.replica.name)
        # Loading weights discards everything cached under the previous ones.
        self.block_index.forget(known.replica.name)
        fields: dict[str, object] = {
            "replica": known.replica.name,
            "model": model,
            "before": before,
            "version": version,
            "source": source.value,
            "peer": peer,
            "age_ms": round(now_ms - span.end_ms),
        }
        self._log_entries += self._changes.log(fields, now_ms)
        return True

    def record_report(self, read: ReplicaStateRead, now_ms: float) -> None:
        """Record the weights in a report of the incarnation that was asked."""
        known = self._directory.find(read.replica)
        if known is None or read.state is None:
            return
        span = StatedSpan(read.asked_ms - REPORT_LAG_MS, now_ms)
        for model, version in read.state.weights:
            self.record(known, model, version, WeightsSource.REPORT, span, now_ms)
        check = self._checks.get(read.replica)
        if check is not None and span.begin_ms >= check.since_ms:
            del self._checks[read.replica]

    def record_update(
        self,
        known: KnownReplica,
        update: ReplicaUpdate,
        peer: NodeName,
        now_ms: float,
    ) -> bool:
        """Record the weights in a peer's update; return whether they change.

        An update never lowers a version, since it may have been delayed. If its
        statement is the newer one, the replica is asked.
        """
        has_age = update.weights_age_ms is not None
        age_ms = (
            UPDATE_TTL_MS if update.weights_age_ms is None else update.weights_age_ms
        )
        span = StatedSpan(UNKNOWN_MS, now_ms - max(age_ms, 0.0))
        has_changed = False
        for model, version in update.weights:
            known_ms = known.stated_weights.find_span(model).end_ms
            is_lower = version < known.weights.get(model, 0)
            if has_age and is_lower and span.end_ms > known_ms + PEER_DELAY_MS:
                self._doubt_word(known, model, "peer", now_ms)
            has_changed |= self.record(
                known, model, version, WeightsSource.PEER, span, now_ms, peer
            )
        return has_changed

    def check_entry(
        self, known: KnownReplica, confirmed_ms: float, now_ms: float
    ) -> None:
        """Ask a replica whose entry still shows older weights than this node knows.

        Without calls, no answer would correct a wrong version, and a replica that is
        taken for newer than all others may get none. It is asked once for each version.
        """
        name = known.replica.name
        for model, version in known.replica.weights:
            believed = known.weights.get(model, 0)
            stated_ms = known.stated_weights.find_span(model).end_ms
            is_overdue = confirmed_ms - stated_ms > ENTRY_DELAY_MS
            is_asked = self._asked_for_entry.get(name) == (model, believed)
            if version >= believed or not is_overdue or is_asked:
                continue
            if self._doubt_word(known, model, "entry", now_ms):
                self._asked_for_entry[name] = model, believed

    def retain(self, names: Collection[EndpointName]) -> None:
        """Forget all other replicas."""
        for name in self._asked_for_entry.keys() - set(names):
            del self._asked_for_entry[name]

    def take_corrected(self) -> list[EndpointName]:
        """Return and clear the replicas found to have older weights than known."""
        corrected, self._corrected = self._corrected, []
        return corrected

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
                self._asked_for_entry.pop(name, None)
            elif now_ms - check.asked_ms >= CHECK_INTERVAL_MS:
                check.asked_ms = now_ms
                replica = known.replica
                yield ReadReplicaState(name, replica.listed_as, replica.address)

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries about changes and doubts."""
        entries, self._log_entries = self._log_entries, []
        return entries

    def _doubt_word(
        self, known: KnownReplica, model: str, reason: str, now_ms: float
    ) -> bool:
        """Begin to check a version; return whether this node does.

        In a large fleet others do it.
        """
        if known.replica.name in self._checks or not self._may_check(now_ms):
            return False
        self._add_doubt(known, model, reason, now_ms)
        return True

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
