"""Define the policies and conditions of the bench and the result of one run."""

from __future__ import annotations

import enum

import msgspec


class Policy(enum.StrEnum):
    """Placement policies that are compared."""

    TOUCANYARD = "toucanyard"
    RANDOM = "random"
    LEAST_LOADED = "least_loaded"
    AFFINITY = "affinity"
    ORACLE = "knows_all"


class Condition(enum.StrEnum):
    """Faults and load changes during a run."""

    CALM = "calm"
    CRASH = "crash"
    LOST_EVENTS = "lost_events"
    LOAD_LAG = "load_lag"
    ROLL_OUT = "roll_out"
    HERD = "herd"
    OVERLOAD_1_5 = "overload_1_5"
    OVERLOAD_3 = "overload_3"
    SLOW_REPLICA = "slow_replica"
    FLOOD = "flood"


class Result(msgspec.Struct):
    """The result of one run."""

    offered: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    prompt_blocks: int = 0
    warm_blocks: int = 0
    recomputed_blocks: int = 0
    retries: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    smallest_p99_ms: float = 0.0
    recovery_s: float = -1.0
    """Seconds from the end of an overload to 95% of earlier goodput; -1 for never."""
    served_at_s: list[int] = []
    offered_at_s: list[int] = []

    @property
    def hit_rate(self) -> float:
        """Return the share of prompt blocks that were warm."""
        return self.warm_blocks / max(self.prompt_blocks, 1)
