"""Plan the orders that bring replicas to the wanted weights, a few at a time.

Nothing is trusted to have held: each order is conditional on the replica's count of
orders, so one that arrives late changes nothing, and a report shows what came of it.
A replica is announced to all nodes as loading a moment before it is ordered, so that
they send their calls elsewhere instead of having them refused.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

import msgspec

from toucanyard.failed_loads import FailedLoads
from toucanyard.names import EndpointName, NodeName
from toucanyard.relay_events import (
    OrderAnswered,
    ReadReplicaState,
    ReplicaStateRead,
    WeightsOrder,
)
from toucanyard.relay_notes import Note
from toucanyard.relay_policy import RolloutPolicy
from toucanyard.replicas import KnownReplica
from toucanyard.turns import Turn

MANY_REPLICAS: Final = 16
MANY_CHANGING_SHARE: Final = 0.25
"""The same share among more replicas than that. With 0.4 of 70 changing and a quarter
dead, calls found 9 to 24 replicas, and queues of seconds stood long after the load."""
ANNOUNCE_MS: Final = 60.0
"""Time from the announcement to the order; it takes one way between two nodes."""
FAR_ANNOUNCE_MS: Final = 250.0
"""The same where it takes three ways, by two hubs that send each 75 ms at most."""
READ_MS: Final = 120.0
"""Time between two reports of a replica under an order."""
FRESH_MS: Final = 1_000.0
"""How old a report may be for an order to be based on it."""
LOST_MS: Final = 1_200.0
"""After this time an order whose effect doesn't show is given again."""
LOADING_MS: Final = 1_500.0
"""How long an announcement counts unless it is renewed."""
SILENT_MS: Final = 800.0
"""After this time without a report a replica is left alone; it is dead or cut off."""
SURVEY_MS: Final = 500.0
"""Time between two looks at which replicas report."""
HEARD_MS: Final = 1_200.0
"""How long a report shows that a replica is there: two looks and what reports take."""
SKIP_MS: Final = 2_000.0
"""How long a replica without a report is left alone."""
MAX_LOADING_MS: Final = 6_000.0
"""After this time a replica under an order no longer counts as loading."""

FIRST_TOOK_MS: Final = 2_000.0
"""How long a replica is taken to be out of use until loads have shown it."""
TOOK_STEP: Final = 0.3
"""Weight of one load in the mean of how long they take."""

_ACCEPTED: Final = 202
_HOLDS_ALREADY: Final = 200
_STALE_FENCE: Final = 412


class _Change(msgspec.Struct):
    """One replica that is being brought to a version."""

    version: int
    announced_ms: float
    ordered_ms: float | None = None
    asked_ms: float = float("-inf")
    report: ReplicaStateRead | None = None


class Pressure(msgspec.Struct, frozen=True):
    """What a rollout has to be paced by."""

    left_ms: float
    """Time until new weights have to be in place."""


CALM: Final = Pressure(float("inf"))
"""There is all the time."""

RolloutAction = ReadReplicaState | WeightsOrder | Note


class WeightsRollout:
    """The changes under way; what it knows is this node's alone.

    Invariant: no order without a turn, and none on a report from before the last one.
    """

    __slots__ = (
        "_announce_ms",
        "_changes",
        "_failures",
        "_heard_ms",
        "_is_paced",
        "_node",
        "_notes",
        "_policy",
        "_skipped_ms",
        "_surveyed_ms",
        "_took_ms",
    )

    def __init__(self, node: NodeName, policy: RolloutPolicy) -> None:
        self._node = node
        self._policy = policy
        self._announce_ms = ANNOUNCE_MS
        self._changes: dict[EndpointName, _Change] = {}
        self._failures = FailedLoads()
        self._notes: list[Note] = []
        self._skipped_ms: dict[EndpointName, float] = {}
        self._heard_ms: dict[EndpointName, float] = {}
        """When replicas were asked for the reports that came last."""
        self._surveyed_ms = float("-inf")
        self._is_paced = False
        self._took_ms = FIRST_TOOK_MS
        """How long a replica is out of use for new weights, as seen lately."""

    def list_changing(self) -> list[EndpointName]:
        """Return the replicas that are being changed."""
        return list(self._changes)

    def note_state(self, read: ReplicaStateRead) -> None:
        """Take in a report."""
        change = self._changes.get(read.replica)
        if read.state is None:
            if change is not None and change.ordered_ms is not None:
                self._record_lost_load(read, change)
            return
        self._heard_ms[read.replica] = read.asked_ms
        if change is not None:
            change.report = read

    def is_halted(self, version: int, now_ms: float) -> bool:
        """Tell whether a version is left alone, since replicas ended under it."""
        return self._failures.is_halted(version, now_ms)

    def _record_lost_load(self, read: ReplicaStateRead, change: _Change) -> None:
        """Record that a replica under an order did not report."""
        version = change.version
        if self._failures.record_read(read.replica, version, read.reach, read.asked_ms):
            count = self._failures.count(version)
            fields = {"version": version, "replica": read.replica, "count": count}
            self._notes.append(Note("rollout_halted", fields))

    def note_answer(self, answered: OrderAnswered, now_ms: float) -> bool:
        """Take in an answer to an order; return whether a higher fence is known."""
        change = self._changes.get(answered.order.replica)
        if change is not None:
            is_taken = answered.status in (_ACCEPTED, _HOLDS_ALREADY)
            if not is_taken and answered.status is not None:
                # Refused, so a new report is needed and the order may be given again.
                change.ordered_ms = None
                change.report = None
                change.announced_ms = now_ms
        return answered.status == _STALE_FENCE

    def stop(self, known: Iterable[KnownReplica]) -> None:
        """Forget what is under way: the turn is over."""
        for each in known:
            if each.replica.name in self._changes:
                each.loading_until_ms = float("-inf")
        self._changes.clear()

    def plan(
        self,
        model: str,
        version: int,
        replicas: Sequence[KnownReplica],
        turn: Turn,
        load_of: dict[EndpointName, int],
        now_ms: float,
        announce_ms: float = ANNOUNCE_MS,
        *,
        pressure: Pressure = CALM,
    ) -> list[RolloutAction]:
        """Return what to read and to order now."""
        self._announce_ms = announce_ms
        # Asked of thousands of replicas, reports would cost their node more than all
        # else; a share of many leaves enough, though some are away.
        is_small = len(replicas) <= MANY_REPLICAS
        self._is_paced = self._policy.is_paced and is_small
        self._settle(model, version, replicas, now_ms)
        self._announce(model, version, replicas, load_of, pressure, now_ms)
        actions: list[RolloutAction] = [*self._notes, *self._survey(replicas, now_ms)]
        self._notes.clear()
        by_name = {each.replica.name: each for each in replicas}
        for name, change in self._changes.items():
            known = by_name.get(name)
            if known is None:
                continue
            known.loading_until_ms = now_ms + LOADING_MS
            running = load_of.get(name, 0)
            actions += self._plan_one(model, known, change, turn, running, now_ms)
        return actions

    def _settle(
        self,
        model: str,
        version: int,
        replicas: Sequence[KnownReplica],
        now_ms: float,
    ) -> None:
        """Take out the replicas that are done, gone, or take too long."""
        by_name = {each.replica.name: each for each in replicas}
        for name, change in list(self._changes.items()):
            known = by_name.get(name)
            if known is None:
                del self._changes[name]
                continue
            state = None if change.report is None else change.report.state
            if state is not None:
                for loaded, loaded_version in state.weights:
                    known.record_weights(loaded, loaded_version)
            is_busy = state is not None and state.is_busy
            is_done = known.weights.get(model, 0) >= change.version and not is_busy
            since_ms = change.ordered_ms or change.announced_ms
            is_silent = state is None and now_ms - change.announced_ms > SILENT_MS
            if is_silent:
                self._skipped_ms[name] = now_ms
            if is_done and change.ordered_ms is not None:
                took_ms = now_ms - change.announced_ms
                self._took_ms += TOOK_STEP * (took_ms - self._took_ms)
            if is_done or is_silent or now_ms - since_ms > MAX_LOADING_MS:
                known.loading_until_ms = float("-inf")
                del self._changes[name]
            elif change.ordered_ms is None:
                change.version = max(change.version, version)

    def _announce(
        self,
        model: str,
        version: int,
        replicas: Sequence[KnownReplica],
        load_of: dict[EndpointName, int],
        pressure: Pressure,
        now_ms: float,
    ) -> None:
        if any(each.weights.get(model, 0) >= version for each in replicas):
            self._failures.forget(version)
        elif self.is_halted(version, now_ms):
            return
        behind = [
            each
            for each in replicas
            if each.replica.name not in self._changes
            and model in each.weights
            and each.weights[model] < version
            and self._is_there(each, now_ms)
        ]
        # The idlest first: its calls end soonest.
        behind.sort(key=lambda each: load_of.get(each.replica.name, 0))
        if self._is_paced:
            most = self._find_paced_most(replicas, behind, pressure, now_ms)
        else:
            most = self._find_most(len(replicas))
        if self._failures.is_on_trial(version):
            most = 1
        room = most - len(self._changes)
        for each in behind[: max(room, 0)]:
            self._changes[each.replica.name] = _Change(version, now_ms)

    def _survey(
        self, replicas: Sequence[KnownReplica], now_ms: float
    ) -> Iterator[RolloutAction]:
        """Ask all replicas for a report, to see which of them are there.

        A replica that has just fallen silent is listed for seconds. Counted as one
        that carries calls, or taken for a load that never begins, it leaves too few.
        """
        is_due = now_ms - self._surveyed_ms >= SURVEY_MS
        if not self._is_paced or not is_due:
            return
        self._surveyed_ms = now_ms
        for known in replicas:
            replica = known.replica
            if replica.name not in self._changes:
                yield ReadReplicaState(replica.name, replica.listed_as, replica.address)

    def _find_most(self, count: int) -> int:
        """Return how many of so many replicas may change at once."""
        share = MANY_CHANGING_SHARE if count > MANY_REPLICAS else self._policy.share
        most = max(self._policy.min_changing, int(share * count))
        return min(most, max(count - 1, 1))

    def _find_paced_most(
        self,
        replicas: Sequence[KnownReplica],
        behind: Sequence[KnownReplica],
        pressure: Pressure,
        now_ms: float,
    ) -> int:
        """Return how many may change at once, by what calls can use and by the time.

        Replicas that are silent or fail carry nothing; a share of all would take half
        of those that are left.
        """
        usable = sum(self._is_there(each, now_ms) for each in replicas)
        usual = self._find_most(len(replicas))
        if usable == len(replicas):
            return usual
        paced = max(int(self._policy.share * usable), 1)
        left_ms = max(pressure.left_ms, self._took_ms / 2)
        to_load = len(behind) + len(self._changes)
        needed = math.ceil(to_load * self._took_ms / left_ms)
        return min(max(paced, needed), usual, max(usable - 1, 1))

    def _is_there(self, known: KnownReplica, now_ms: float) -> bool:
        """Tell whether a replica has reported lately."""
        name = known.replica.name
        heard_ms = self._heard_ms.get(name, float("-inf"))
        if self._is_paced and now_ms - heard_ms > HEARD_MS:
            return False
        return now_ms - self._find_skipped(known) > SKIP_MS

    def _find_skipped(self, known: KnownReplica) -> float:
        return self._skipped_ms.get(known.replica.name, float("-inf"))

    def _plan_one(
        self,
        model: str,
        known: KnownReplica,
        change: _Change,
        turn: Turn,
        running: int,
        now_ms: float,
    ) -> list[RolloutAction]:
        replica = known.replica
        if change.ordered_ms is not None:
            self._check_lost(change, now_ms)
        order = self._build_order(model, known, change, turn, running, now_ms)
        if order is not None:
            change.ordered_ms = now_ms
            return [order]
        if now_ms - change.asked_ms >= READ_MS:
            change.asked_ms = now_ms
            return [ReadReplicaState(replica.name, replica.listed_as, replica.address)]
        return []

    def _build_order(
        self,
        model: str,
        known: KnownReplica,
        change: _Change,
        turn: Turn,
        running: int,
        now_ms: float,
    ) -> WeightsOrder | None:
        report = change.report
        if change.ordered_ms is not None or report is None or report.state is None:
            return None
        is_fresh = now_ms - report.asked_ms <= FRESH_MS
        waited_ms = now_ms - change.announced_ms
        is_quiet = waited_ms >= self._announce_ms and not running
        if not is_fresh or report.state.is_busy:
            return None
        if not is_quiet and waited_ms < self._policy.drain_ms:
            return None
        return WeightsOrder(
            replica=known.replica.name,
            listed_as=known.replica.listed_as,
            address=known.replica.address,
            model=model,
            version=change.version,
            holder=self._node,
            fence=turn.fence,
            expected_order_count=report.state.order_count,
            is_under_calls=running > 0,
        )

    def _check_lost(self, change: _Change, now_ms: float) -> None:
        """Let an order be given again that shows no effect."""
        ordered_ms = change.ordered_ms
        report = change.report
        if ordered_ms is None or report is None or report.state is None:
            return
        is_newer = report.asked_ms > ordered_ms + LOST_MS
        if is_newer and not report.state.is_busy:
            change.ordered_ms = None
            change.announced_ms = now_ms - self._policy.drain_ms
