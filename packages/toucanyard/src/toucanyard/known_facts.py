"""Apply changes of records to the parts of the core that depend on them.

Each change of the node's state is logged together with its source.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from toucanyard.held_entries import HeldEntries
from toucanyard.keyed_view import Change, InvalidRecord, KeyedView, Topic
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName, ReplicaId
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.quarantine import QuarantinedRequest, Release
from toucanyard.relay_events import LogEntry
from toucanyard.relay_flow import RelayFlow
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.routes import RouteIndex, RouteTable
from toucanyard.software_versions import SoftwareVersions
from toucanyard.target_weights import TargetWeightsTable, WantedWeights

MAX_AGE_MS: Final = 1e6
"""Maximum age in the log, also used for a list that the store has never confirmed."""
HELD_SOURCE: Final = "held"
"""Source of an entry that is applied later than it was read."""


class KnownFacts:
    """Routes, wanted weights, replicas and nodes according to the records.

    Invariants: the version of the routes in force never decreases; a record that can't
    be decoded, or is held, has no effect except that the replica whose record it
    replaced gets no more calls.
    """

    __slots__ = (
        "_directory",
        "_flow",
        "_weight_targets",
        "_guard",
        "_held",
        "_invalid",
        "_node_directory",
        "_versions",
        "index",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        weight_targets: TargetWeightsTable,
        node_directory: NodeDirectory,
        flow: RelayFlow,
        guard: RequestGuard,
        versions: SoftwareVersions,
    ) -> None:
        self._versions = versions
        self.index = RouteIndex(RouteTable())
        self._directory = directory
        self._weight_targets = weight_targets
        self._node_directory = node_directory
        self._flow = flow
        self._guard = guard
        self._invalid = LogRateLimit("record_invalid")
        self._held = HeldEntries(directory)

    def apply(
        self,
        changes: Sequence[Change],
        source: str,
        now_ms: float,
        *,
        listed_ms: float,
        known_for_ms: float = 0.0,
    ) -> Iterator[LogEntry]:
        """Apply changes; `listed_ms` is when the store confirmed the previous state.

        `known_for_ms` is how long ago wanted weights may have been set by operators.
        """
        removed: list[EndpointName] = []
        for change in changes:
            if isinstance(change.fact, InvalidRecord):
                yield from self._apply_invalid(change.key, change.fact, source, now_ms)
                continue
            if change.fact is not None:
                yield from self._apply_present(change, source, now_ms, known_for_ms)
                continue
            match change.before:
                case Replica(listed_as=listed_as):
                    removed += self._find_removed(listed_as)
                case NodeRecord(name=node):
                    self._node_directory.remove(node)
                    yield LogEntry("node_gone", {"node": node, "source": source})
                case QuarantinedRequest() as quarantined:
                    self._guard.on_record_removed(quarantined)
        if removed:
            self._directory.remove(removed, now_ms, listed_ms=listed_ms)
        for replica in removed:
            known = self._directory.find(replica)
            counts_ms = 0.0 if known is None else known.grace_until_ms - now_ms
            yield LogEntry(
                "replica_gone",
                {
                    "replica": replica,
                    "source": source,
                    "counts_ms": round(max(counts_ms, 0.0)),
                    "list_age_ms": round(min(now_ms - listed_ms, MAX_AGE_MS)),
                },
            )

    def _find_removed(self, listed_as: ReplicaId) -> list[EndpointName]:
        """Return the incarnation that the removal of an entry concerns, if any."""
        if self._held.drop(listed_as):
            return []
        # The removed entry may be a late one of an earlier incarnation.
        current = self._directory.find_current(listed_as)
        return [] if current is None else [current.replica.name]

    def apply_restored_nodes(self, view: KeyedView, now_ms: float) -> None:
        """Let nodes write quarantines again that a restored store does not have.

        One that was written shortly before may never have been in the view.
        """
        stored = [
            each for each in view.list_stored() if isinstance(each, QuarantinedRequest)
        ]
        self._guard.quarantine.retain_stored(stored, now_ms)

    def _apply_present(
        self, change: Change, source: str, now_ms: float, known_for_ms: float
    ) -> Iterator[LogEntry]:
        match change.fact:
            case QuarantinedRequest() as quarantined if change.is_lost:
                self._guard.apply_lost(quarantined, source, now_ms)
            case QuarantinedRequest() as quarantined:
                self._guard.apply_record(quarantined, source, now_ms)
            case fact if fact != change.before:
                yield from self._apply_fact(fact, source, now_ms, known_for_ms)

    def _apply_invalid(
        self, key: str, record: InvalidRecord, source: str, now_ms: float
    ) -> Iterator[LogEntry]:
        if record.topic is Topic.REPLICAS:
            self._held.drop(ReplicaId(key))
            self._withdraw(ReplicaId(key), now_ms)
        fields: dict[str, object] = {
            "topic": record.topic.value,
            "key": key,
            "reason": record.reason,
            "source": source,
        }
        yield from self._invalid.log(fields, now_ms)

    def _withdraw(self, listed_as: ReplicaId, now_ms: float) -> None:
        """Use a replica no more until its entry is its own again."""
        known = self._directory.find_current(listed_as)
        if known is not None:
            self._directory.remove_foreign(known.replica.name, now_ms)

    def apply_held(self, now_ms: float) -> Iterator[LogEntry]:
        """Apply the entries whose reason to be held has ended."""
        for replica in self._held.take_due(now_ms):
            yield from self._apply_replica(replica, HELD_SOURCE, now_ms)

    def _apply_fact(
        self, fact: object | None, source: str, now_ms: float, known_for_ms: float
    ) -> Iterator[LogEntry]:
        match fact:
            case RouteTable():
                yield from self._apply_table(fact, source, now_ms)
            case WantedWeights(model=model, version=version):
                if self._weight_targets.apply(fact, now_ms - known_for_ms):
                    fields = {"model": model, "version": version, "source": source}
                    yield LogEntry("weights_wanted", fields)
            case Replica():
                yield from self._apply_entry(fact, source, now_ms)
            case NodeRecord(name=node):
                self._node_directory.apply(fact)
                yield LogEntry("node_known", {"node": node, "source": source})
            case Release():
                self._guard.release(fact, now_ms)

    def _apply_table(
        self, table: RouteTable, source: str, now_ms: float
    ) -> Iterator[LogEntry]:
        before = self.index.table.version
        if table.version <= before:
            return
        self._versions.apply_routes(table, self.index.table, now_ms)
        self.index = RouteIndex(table)
        self._flow.apply_index(self.index)
        self._directory.apply_services(each.name for each in table.services)
        yield LogEntry(
            "routes_in_force",
            {"version": table.version, "before": before, "source": source},
        )
        yield from self.apply_held(now_ms)

    def _apply_entry(
        self, replica: Replica, source: str, now_ms: float
    ) -> Iterator[LogEntry]:
        """Apply a replica's entry, or hold it if it may be of another writer."""
        reason = self._held.check(replica, now_ms)
        if reason is None:
            yield from self._apply_replica(replica, source, now_ms)
            return
        self._withdraw(replica.listed_as, now_ms)
        fields = _describe(replica, source) | {"reason": reason.value}
        yield from self._held.log_entry(fields, now_ms)

    def _apply_replica(
        self, replica: Replica, source: str, now_ms: float
    ) -> Iterator[LogEntry]:
        before = self._directory.find_current(replica.listed_as)
        was_usable = before is not None and before.is_listed(now_ms)
        was_removed = before is not None and before.gone_ms is not None
        weights_before = {} if before is None else dict(before.weights)
        software_before = None if before is None else before.replica.software_version
        known = self._directory.apply(replica, now_ms)
        if known is None:
            yield LogEntry("replica_outdated", _describe(replica, source))
            return
        self._versions.record_listed(replica.service, replica.software_version, now_ms)
        if before is not None and before is not known:
            # The new incarnation starts with an empty cache.
            self._flow.block_index.forget(before.replica.name)
            fields = _describe(replica, source) | {"before": before.replica.name}
            yield LogEntry("replica_restarted", fields)
        elif any(
            version > weights_before.get(model, version)
            for model, version in replica.weights
        ):
            # Loading weights clears what the replica cached under the previous ones.
            self._flow.block_index.forget(replica.name)
        is_same = known is before and weights_before == known.weights
        is_same = is_same and software_before == replica.software_version
        if not is_same or was_removed or was_usable != known.is_listed(now_ms):
            fields = _describe(replica, source)
            fields |= {"is_leaving": known.is_leaving, "weights": dict(known.weights)}
            yield LogEntry("replica_known", fields)


def _describe(replica: Replica, source: str) -> dict[str, object]:
    return {
        "replica": replica.name,
        "service": replica.service,
        "address": replica.address,
        "software": replica.software_version,
        "source": source,
    }
