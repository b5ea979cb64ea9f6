"""Apply what replicas state about themselves, whatever kind of response contains it."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName, ReplicaId
from toucanyard.relay_events import ReplicaStatementSeen
from toucanyard.replica_gossip import ReplicaGossip
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_statements import StatementKind
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.uneven_load.placement_inputs import UnevenLoad

RETURN_SPREAD: Final = 0.2
"""Share of a requested delay by which it is extended at random, so that nodes whose
calls were rejected together do not return together."""


class StatementEvents:
    """Handler of one node's events about statements of replicas.

    Invariant: a statement concerns one incarnation, the one that made it.
    """

    __slots__ = (
        "_brittleness",
        "_directory",
        "_gossip",
        "_invalid",
        "_is_urgent",
        "_leaves",
        "_limits",
        "_deferrals",
        "_rng",
        "_uneven",
        "leave_count",
        "deferral_count",
    )

    def __init__(
        self,
        directory: ReplicaDirectory,
        limits: ReplicaLimits,
        gossip: ReplicaGossip,
        brittleness: ReplicaLimits,
        uneven: UnevenLoad,
        rng: random.Random,
    ) -> None:
        self._uneven = uneven
        self._brittleness = brittleness
        self._rng = rng
        self.leave_count = 0
        """Number of replicas of which a response stated a leave."""
        self.deferral_count = 0
        """Number of responses that asked for a delay."""
        self._directory = directory
        self._gossip = gossip
        self._limits = limits
        self._is_urgent = False
        self._leaves = LogRateLimit("replica_leaving")
        self._deferrals = LogRateLimit("replica_deferred")
        self._invalid = LogRateLimit("replica_statement_invalid")

    def on_seen(self, seen: ReplicaStatementSeen, now_ms: float) -> Iterator[LogEntry]:
        """Apply one response's statement."""
        statement = seen.statement
        known = self._find_sender(seen)
        name = seen.replica if known is None else known.replica.name
        for invalid in statement.invalid:
            fields: dict[str, object] = {
                "replica": name,
                "kind": invalid.kind.value,
                "value": invalid.text,
            }
            yield from self._invalid.log(fields, now_ms)
        if known is None:
            return
        has_limit = statement.limit_per_s is not None
        is_ended = seen.ends_limit and not seen.has_invalid(StatementKind.LIMIT)
        if has_limit or is_ended:
            before = self._limits.change_count
            yield from self._limits.on_answer(name, statement.limit_per_s, now_ms)
            self._is_urgent |= self._limits.change_count != before
        yield from self._apply_brittleness(seen, name, now_ms)
        yield from self._apply_load(seen, known, now_ms)
        if statement.is_leaving:
            yield from self._record_leave(known, now_ms)
        if statement.retry_after_ms is not None:
            yield from self._record_deferral(known, statement.retry_after_ms, now_ms)

    def _apply_brittleness(
        self, seen: ReplicaStatementSeen, name: EndpointName, now_ms: float
    ) -> Iterator[LogEntry]:
        brittle_per_s = seen.statement.brittle_per_s
        is_ended = seen.ends_brittle and not seen.has_invalid(StatementKind.BRITTLE)
        if brittle_per_s is None and not is_ended:
            return
        before = self._brittleness.change_count
        yield from self._brittleness.on_answer(name, brittle_per_s, now_ms)
        self._is_urgent |= self._brittleness.change_count != before

    def _apply_load(
        self, seen: ReplicaStatementSeen, known: KnownReplica, now_ms: float
    ) -> Iterator[LogEntry]:
        load, service = seen.statement.load, known.replica.service
        if load is None:
            return
        if self._uneven.record_stated(service, known.replica.name, load, now_ms):
            fields: dict[str, object] = {
                "service": service,
                "replica": known.replica.name,
                "contention": load.contention,
            }
            yield LogEntry("uneven_load_active", fields)

    def consume_urgent_flag(self) -> bool:
        """Return whether peers should learn of a change at once; clear the flag."""
        is_urgent, self._is_urgent = self._is_urgent, False
        return is_urgent

    def _find_sender(self, seen: ReplicaStatementSeen) -> KnownReplica | None:
        """Return the replica that made the statement; None if it is not known."""
        known = self._directory.find(seen.replica)
        replica_id = seen.statement.replica_id
        if not replica_id or (
            known is not None and known.replica.listed_as == replica_id
        ):
            return known
        return self._directory.find_current(ReplicaId(replica_id))

    def _record_leave(self, known: KnownReplica, now_ms: float) -> Iterator[LogEntry]:
        if known.leave_stated_ms is not None:
            return
        known.leave_stated_ms = now_ms
        self.leave_count += 1
        self._is_urgent = True
        self._gossip.record_change(known.replica.name, now_ms)
        fields: dict[str, object] = {
            "replica": known.replica.name,
            "source": "answer",
            "is_recorded": known.is_leaving,
        }
        yield from self._leaves.log(fields, now_ms)

    def _record_deferral(
        self, known: KnownReplica, retry_after_ms: float, now_ms: float
    ) -> Iterator[LogEntry]:
        fields: dict[str, object] = {
            "replica": known.replica.name,
            "retry_after_ms": round(retry_after_ms),
            "left_ms": round(known.compute_deferral(now_ms)),
        }
        self.deferral_count += 1
        spread = self._rng.uniform(1.0, 1.0 + RETURN_SPREAD)
        known.record_deferral(now_ms + retry_after_ms * spread)
        yield from self._deferrals.log(fields, now_ms)
