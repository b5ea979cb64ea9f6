"""Lead the rollout of new weights while this node holds the turn to order them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.names import EndpointName, NodeId
from toucanyard.node_directory import NodeDirectory
from toucanyard.relay_events import (
    AppendTurn,
    OrderAnswered,
    ReadReplicaState,
    ReadTurns,
    ReplicaStateRead,
    TurnAppended,
    TurnRead,
    WeightsOrder,
)
from toucanyard.relay_notes import Note
from toucanyard.relay_options import WeightsTimings
from toucanyard.relay_policy import RolloutPolicy
from toucanyard.replica_uses import ReplicaUses
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.turns import MAX_FOLLOWERS, Turns
from toucanyard.weights_goals import Goal, WeightsGoals
from toucanyard.weights_rollout import (
    ANNOUNCE_MS,
    FAR_ANNOUNCE_MS,
    Pressure,
    WeightsRollout,
)

LAST_READ_MS: Final = 300.0
"""Time after the work is done at which candidates look who did it, and when."""

SAFE_SHARE: Final = 0.75
"""Share of the time for new weights in which a rollout plans to end."""

LOOK_MS: Final = 100.0
"""Time between two looks for replicas that are behind; at each tick, those of 70 took a
fifth of all that a node decides."""

RolloutAction = AppendTurn | ReadTurns | ReadReplicaState | WeightsOrder | Note


class _Work(msgspec.Struct):
    since_ms: float | None = None
    done_ms: float | None = None


class RolloutLeader:
    """Orders for all models, by whichever node has the turn.

    Invariant: orders are planned only while this node holds a turn.
    """

    __slots__ = (
        "_directory",
        "_goals",
        "_roster",
        "_rollouts",
        "_turns",
        "_uses",
        "_work",
        "_identity",
        "_looked_ms",
        "_deadline_ms",
        "_policy",
    )

    def __init__(
        self,
        identity: NodeId,
        timings: WeightsTimings,
        directory: ReplicaDirectory,
        goals: WeightsGoals,
        node_directory: NodeDirectory,
        uses: ReplicaUses,
        policy: RolloutPolicy,
    ) -> None:
        self._policy = policy
        self._deadline_ms = float(timings.deadline_ms)
        self._identity = identity
        self._directory = directory
        self._goals = goals
        self._roster = node_directory
        self._uses = uses
        self._turns = Turns(identity, float(timings.lease_ms))
        self._rollouts: dict[str, WeightsRollout] = {}
        self._work = _Work()
        self._looked_ms = float("-inf")

    def handle(
        self,
        event: TurnRead | TurnAppended | ReplicaStateRead | OrderAnswered,
        now_ms: float,
    ) -> None:
        """Take in what the store or a replica answered."""
        match event:
            case TurnRead():
                self._turns.note_read(event, now_ms)
            case TurnAppended():
                self._turns.note_appended(event)
            case ReplicaStateRead():
                self._note_state(event, now_ms)
            case OrderAnswered():
                rollout = self._rollouts.get(event.order.model)
                if rollout is not None and rollout.note_answer(event, now_ms):
                    self._turns.give_up()

    def list_changing(self) -> list[EndpointName]:
        """Return the replicas that this node is changing."""
        return [
            name
            for rollout in self._rollouts.values()
            for name in rollout.list_changing()
        ]

    def is_busy(self) -> bool:
        """Tell whether replicas are known to be behind, or being changed."""
        return self._work.since_ms is not None or bool(self.list_changing())

    def tick(self, now_ms: float, *, is_leaving: bool = False) -> list[RolloutAction]:
        """Return what to ask of the store and of replicas now.

        A node that is leaving ends what it has begun: were it to stop at once, the
        next one would wait out the lease, and a roll of all VMs would stop every
        holder before the weights are in place.
        """
        if not self.is_busy() and now_ms - self._looked_ms < LOOK_MS:
            return []
        self._looked_ms = now_ms
        behind = self._find_behind(now_ms)
        if not behind and not self.list_changing():
            return self._rest(now_ms)
        if self._work.since_ms is None:
            self._work = _Work(since_ms=now_ms)
        actions: list[RolloutAction] = []
        holder = self._turns.find_holder()
        is_alive = self._roster.is_alive(holder, now_ms)
        rank = self._roster.find_rank("orders", now_ms)
        asked = self._turns.tick(
            self._work.since_ms or now_ms, rank, is_alive, now_ms, is_leaving=is_leaving
        )
        if asked is not None:
            actions.append(asked)
        turn = self._turns.find_turn(now_ms)
        if turn is None:
            for rollout in self._rollouts.values():
                rollout.stop(self._directory.list_all())
            return actions
        for model, replicas in self._find_replicas(now_ms).items():
            goal = self._goals.find(model)
            if goal is None:
                continue
            rollout = self._rollouts.setdefault(
                model, WeightsRollout(self._identity.node, self._policy)
            )
            loads = {
                each.replica.name: self._uses.compute(each.replica.name, now_ms).running
                for each in replicas
            }
            is_near = self._roster.is_full_mesh()
            announce_ms = ANNOUNCE_MS if is_near else FAR_ANNOUNCE_MS
            actions += rollout.plan(
                model,
                goal.version,
                replicas,
                turn,
                loads,
                now_ms,
                announce_ms,
                pressure=self._find_pressure(model, goal, replicas, now_ms),
            )
        return actions

    def _find_pressure(
        self, model: str, goal: Goal, replicas: Sequence[KnownReplica], now_ms: float
    ) -> Pressure:
        oldest = min(each.weights.get(model, 0) for each in replicas)
        left_ms = self._deadline_ms * SAFE_SHARE - goal.compute_age(oldest, now_ms)
        return Pressure(left_ms)

    def _rest(self, now_ms: float) -> list[RolloutAction]:
        """Look once after the work who did it: a turn counts from when it was seen."""
        work = self._work
        if work.since_ms is not None:
            self._work = _Work(done_ms=now_ms)
            return []
        is_due = work.done_ms is not None and now_ms - work.done_ms >= LAST_READ_MS
        if not is_due:
            return []
        self._work = _Work()
        if self._roster.find_rank("orders", now_ms) >= MAX_FOLLOWERS:
            return []
        return [ReadTurns(0)]

    def _note_state(self, read: ReplicaStateRead, now_ms: float) -> None:
        if self._is_other_life(read, now_ms):
            return
        for rollout in self._rollouts.values():
            rollout.note_state(read)

    def _is_other_life(self, read: ReplicaStateRead, now_ms: float) -> bool:
        """Tell whether a report is not of the life that was asked.

        Its count of orders would allow an order that was meant for the other one.
        """
        known = self._directory.find(read.replica)
        if known is None or read.state is None or read.state.born_ms is None:
            return False
        replica, born_ms = known.replica, read.state.born_ms
        if replica.born_ms is None or replica.born_ms == born_ms:
            return False
        self._directory.record_incarnation(replica.listed_as, born_ms, now_ms)
        return True

    def _find_behind(self, now_ms: float) -> list[KnownReplica]:
        return [
            known
            for model, replicas in self._find_replicas(now_ms).items()
            for known in replicas
            if self._is_behind(known, model)
        ]

    def _is_behind(self, known: KnownReplica, model: str) -> bool:
        goal = self._goals.find(model)
        return goal is not None and known.weights.get(model, 0) < goal.version

    def _find_replicas(self, now_ms: float) -> dict[str, list[KnownReplica]]:
        found: dict[str, list[KnownReplica]] = {}
        for known in self._directory.list_served(now_ms):
            for model in known.weights:
                if self._goals.find(model) is not None:
                    found.setdefault(model, []).append(known)
        return found
