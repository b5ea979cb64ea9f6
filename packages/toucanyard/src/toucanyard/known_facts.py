"""Apply what records say to the parts of the core that decide by it.

Each change of what the node believes is a note for the log, with where it came from.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from toucanyard.keyed_view import Change
from toucanyard.names import EndpointName
from toucanyard.node_records import NodeRecord
from toucanyard.relay_events import Note
from toucanyard.relay_flow import RelayFlow
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.roster import Roster
from toucanyard.routes import RouteIndex, RouteTable
from toucanyard.weights_goals import WantedWeights, WeightsGoals


class KnownFacts:
    """Routes, wanted weights, replicas and nodes as the records say.

    Invariant: the version of the routes in force never falls.
    """

    __slots__ = ("_directory", "_flow", "_goals", "_roster", "index")

    def __init__(
        self,
        directory: ReplicaDirectory,
        goals: WeightsGoals,
        roster: Roster,
        flow: RelayFlow,
    ) -> None:
        self.index = RouteIndex(RouteTable())
        self._directory = directory
        self._goals = goals
        self._roster = roster
        self._flow = flow

    def apply(
        self,
        changes: Sequence[Change],
        source: str,
        now_ms: float,
        *,
        is_store_doubtful: bool,
        known_for_ms: float = 0.0,
    ) -> Iterator[Note]:
        """Apply changes; `is_store_doubtful` tells that the store was away just now.

        `known_for_ms` is how long wanted weights may have been named before.
        """
        gone: list[EndpointName] = []
        for change in changes:
            if change.fact is not None:
                since_ms = now_ms - known_for_ms
                yield from self._apply_fact(change.fact, source, since_ms)
                continue
            match change.before:
                case Replica(name=name):
                    gone.append(name)
                case NodeRecord(name=node):
                    self._roster.remove(node)
                    yield Note("node_gone", {"node": node, "source": source})
        if gone:
            self._directory.remove(gone, now_ms, is_doubtful=is_store_doubtful)
        for replica in gone:
            yield Note(
                "replica_gone",
                {
                    "replica": replica,
                    "source": source,
                    "is_doubtful": is_store_doubtful,
                },
            )

    def _apply_fact(self, fact: object, source: str, since_ms: float) -> Iterator[Note]:
        match fact:
            case RouteTable():
                yield from self._apply_table(fact, source)
            case WantedWeights(model=model, version=version):
                if self._goals.apply(fact, since_ms):
                    fields = {"model": model, "version": version, "source": source}
                    yield Note("weights_wanted", fields)
            case Replica():
                yield from self._apply_replica(fact, source)
            case NodeRecord(name=node):
                self._roster.apply(fact)
                yield Note("node_known", {"node": node, "source": source})

    def _apply_table(self, table: RouteTable, source: str) -> Iterator[Note]:
        before = self.index.table.version
        if table.version <= before:
            return
        self.index = RouteIndex(table)
        self._flow.apply_index(self.index)
        yield Note(
            "routes_in_force",
            {"version": table.version, "before": before, "source": source},
        )

    def _apply_replica(self, replica: Replica, source: str) -> Iterator[Note]:
        before = self._directory.find(replica.name)
        was_leaving = before is not None and before.is_leaving
        had = {} if before is None else dict(before.weights)
        known = self._directory.apply(replica)
        if any(version > had.get(model, version) for model, version in replica.weights):
            # Loading weights drops all that was read under the ones before.
            self._flow.book.forget(replica.name)
        if before is None or was_leaving != known.is_leaving or had != known.weights:
            yield Note(
                "replica_known",
                {
                    "replica": replica.name,
                    "service": replica.service,
                    "address": replica.address,
                    "is_leaving": known.is_leaving,
                    "weights": dict(known.weights),
                    "source": source,
                },
            )
