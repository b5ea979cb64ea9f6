"""Apply what records say to the parts of the core that decide by it.

Each change of what the node believes is a note for the log, with where it came from.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Final

from toucanyard.keyed_view import Change, InvalidRecord, Topic
from toucanyard.names import EndpointName, ReplicaId
from toucanyard.node_directory import NodeDirectory
from toucanyard.node_records import NodeRecord
from toucanyard.note_limit import NoteLimit
from toucanyard.quarantine import QuarantinedRequest, Release
from toucanyard.relay_events import Note
from toucanyard.relay_flow import RelayFlow
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.request_guard import RequestGuard
from toucanyard.routes import RouteIndex, RouteTable
from toucanyard.weights_goals import WantedWeights, WeightsGoals

MAX_AGE_MS: Final = 1e6
"""Age that is logged for a list that the store has never confirmed."""


class KnownFacts:
    """Routes, wanted weights, replicas and nodes as the records say.

    Invariants: the version of the routes in force never falls; no record that can't be
    read changes anything but the use of the replica in whose place it stands.
    """

    __slots__ = (
        "_directory",
        "_flow",
        "_goals",
        "_guard",
        "_invalid",
        "_roster",
        "index",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        goals: WeightsGoals,
        node_directory: NodeDirectory,
        flow: RelayFlow,
        guard: RequestGuard,
    ) -> None:
        self.index = RouteIndex(RouteTable())
        self._directory = directory
        self._goals = goals
        self._roster = node_directory
        self._flow = flow
        self._guard = guard
        self._invalid = NoteLimit("record_invalid")

    def apply(
        self,
        changes: Sequence[Change],
        source: str,
        now_ms: float,
        *,
        listed_ms: float,
        known_for_ms: float = 0.0,
    ) -> Iterator[Note]:
        """Apply changes; `listed_ms` is when the store confirmed what was known before.

        `known_for_ms` is how long wanted weights may have been named before.
        """
        gone: list[EndpointName] = []
        for change in changes:
            if isinstance(change.fact, InvalidRecord):
                yield from self._apply_invalid(change.key, change.fact, source, now_ms)
                continue
            if change.fact is not None:
                yield from self._apply_fact(change.fact, source, now_ms, known_for_ms)
                continue
            match change.before:
                case Replica(listed_as=listed_as):
                    # The entry that went may be an earlier life's that came late.
                    current = self._directory.find_current(listed_as)
                    if current is not None:
                        gone.append(current.replica.name)
                case NodeRecord(name=node):
                    self._roster.remove(node)
                    yield Note("node_gone", {"node": node, "source": source})
                case QuarantinedRequest() as quarantined:
                    self._guard.on_record_removed(quarantined)
        if gone:
            self._directory.remove(gone, now_ms, listed_ms=listed_ms)
        for replica in gone:
            known = self._directory.find(replica)
            counts_ms = 0.0 if known is None else known.grace_until_ms - now_ms
            yield Note(
                "replica_gone",
                {
                    "replica": replica,
                    "source": source,
                    "counts_ms": round(max(counts_ms, 0.0)),
                    "list_age_ms": round(min(now_ms - listed_ms, MAX_AGE_MS)),
                },
            )

    def _apply_invalid(
        self, key: str, record: InvalidRecord, source: str, now_ms: float
    ) -> Iterator[Note]:
        if record.topic is Topic.REPLICAS:
            known = self._directory.find_current(ReplicaId(key))
            if known is not None:
                self._directory.remove_foreign(known.replica.name, now_ms)
        fields: dict[str, object] = {
            "topic": record.topic.value,
            "key": key,
            "reason": record.reason,
            "source": source,
        }
        yield from self._invalid.note(fields, now_ms)

    def _apply_fact(
        self, fact: object, source: str, now_ms: float, known_for_ms: float
    ) -> Iterator[Note]:
        match fact:
            case RouteTable():
                yield from self._apply_table(fact, source)
            case WantedWeights(model=model, version=version):
                if self._goals.apply(fact, now_ms - known_for_ms):
                    fields = {"model": model, "version": version, "source": source}
                    yield Note("weights_wanted", fields)
            case Replica():
                yield from self._apply_replica(fact, source, now_ms)
            case NodeRecord(name=node):
                self._roster.apply(fact)
                yield Note("node_known", {"node": node, "source": source})
            case QuarantinedRequest():
                self._guard.apply_record(fact, source, now_ms)
            case Release():
                self._guard.release(fact, now_ms)

    def _apply_table(self, table: RouteTable, source: str) -> Iterator[Note]:
        before = self.index.table.version
        if table.version <= before:
            return
        self.index = RouteIndex(table)
        self._flow.apply_index(self.index)
        self._directory.apply_services(each.name for each in table.services)
        yield Note(
            "routes_in_force",
            {"version": table.version, "before": before, "source": source},
        )

    def _apply_replica(
        self, replica: Replica, source: str, now_ms: float
    ) -> Iterator[Note]:
        before = self._directory.find_current(replica.listed_as)
        was_usable = before is not None and before.is_listed(now_ms)
        was_gone = before is not None and before.gone_ms is not None
        had = {} if before is None else dict(before.weights)
        known = self._directory.apply(replica, now_ms)
        if known is None:
            yield Note("replica_outdated", _describe(replica, source))
            return
        if before is not None and before is not known:
            # It remembers nothing of its life before.
            self._flow.book.forget(before.replica.name)
            fields = _describe(replica, source) | {"before": before.replica.name}
            yield Note("replica_restarted", fields)
        elif any(
            version > had.get(model, version) for model, version in replica.weights
        ):
            # Loading weights drops all that was read under the ones before.
            self._flow.book.forget(replica.name)
        is_same = known is before and had == known.weights
        if not is_same or was_gone or was_usable != known.is_listed(now_ms):
            fields = _describe(replica, source)
            fields |= {"is_leaving": known.is_leaving, "weights": dict(known.weights)}
            yield Note("replica_known", fields)


def _describe(replica: Replica, source: str) -> dict[str, object]:
    return {
        "replica": replica.name,
        "service": replica.service,
        "address": replica.address,
        "source": source,
    }
