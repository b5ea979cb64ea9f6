"""Parameters of placement, retries, queues, rollouts and limits of relayed calls.

Each mechanism of the relay path reads its parameters here, so that an experiment can
replay the same load with one of them changed or disabled. Durations end in `_ms`. Costs
are in milliseconds of delay of the first event, the unit of scores.
"""

from __future__ import annotations

import enum

import msgspec


class PlacementPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Costs by which the replica of a prompt is chosen."""

    affinity_ms: float = 40.0
    """Wait that an uncached prompt accepts to be read at its preferred replica."""
    reread_ms_per_token: float = 0.1
    """Cost of reading a block that another replica is reading now: the response loses
    about as much value as by a delay of this length."""
    failure_ms: float = 150.0
    """Cost of each recent failure of a replica."""
    old_weights_ms: float = 60.0
    """Cost of a replica that still has older weights, which are soon replaced."""
    late_weights_ms: float = 700.0
    """The same, once responses on older weights have lost part of their value.

    At 1,500, when a rollout stalled, all calls queued at the two of six replicas that
    had new weights, for up to 1.5 s each, and were late. The lower cost raised the
    value of such a run by 0.02 (emulator, 6 seeds).
    """
    running_ms: float = 1.0
    """Cost of each call that runs at a replica, as it slows the others' tokens."""
    pause_share: float = 0.1
    """Cost of the pause of each running stream while its replica reads a prompt, as a
    share of that time. Without it one replica reads long prompts all the time and the
    events of its streams are late."""
    fetches: bool = True
    """Whether prompt blocks that a replica lacks are fetched from a holder."""
    saves: bool = True
    """Whether prompt blocks that nobody held are saved to a prompt store."""


class RetryPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """When a call is retried elsewhere."""

    call_patience: float = 3.0
    """Multiple of the target time after which a repeatable call is retried
    elsewhere."""
    stream_patience: float = 2.8
    """Multiple of the target time after which a resumable stream is started elsewhere.
    Callers leave after four target times without an event. At 2.0, a quarter of the
    long prompts of a loaded fleet were started twice, most of them because of replicas
    that were only slow."""
    connect_ms: float = 150.0
    """Connect timeout for a replica. A reachable one accepts within milliseconds.
    Nothing was sent before, so the call may go elsewhere. At 400, calls sent to a
    silent replica missed targets of 400 and 600 ms."""
    rests: bool = True
    """Whether an unreachable replica receives no calls for a while."""
    probes: bool = True
    """Whether it then receives none until it has answered a state request. Otherwise
    every node detects by one call a second that it is still unreachable, and each such
    call was late."""
    is_bounded: bool = True
    """Whether retries are bounded by the joint budget of all nodes."""
    spares_slots: bool = True
    """Whether a call without an answer at a replica that answers others is hedged only
    where a slot is free that no other call waits for."""
    avoids_silent: bool = True
    """Whether a silent attempt is hedged at no replica that is silent as well, for as
    long as sound replicas may pause."""


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How calls are queued when no replica has capacity."""

    is_ranked: bool = True
    """Whether the most urgent call goes first, then the one with the earliest
    deadline."""
    refuses_early: bool = True
    """Whether a call that would wait past its deadline is rejected at once."""
    keeps_answer_time: bool = False
    """Whether a queued call is rejected once its answer would take longer than the
    time that it has left."""


class RolloutPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How new weights are rolled out to replicas."""

    share: float = 0.4
    """Share of the replicas that change at the same time. With more, each load takes
    longer and the others can't handle the calls: with four of six changing, first
    tokens took 5 s."""
    min_changing: int = 2
    is_paced: bool = True
    """Whether the share applies to the replicas that report, and more change at a time
    only if the deadline for new weights would otherwise be missed. With two of six
    silent and one leaving, the value of a run rose by 0.04 (emulator, 7 seeds)."""
    drain_ms: float = 600.0
    """Time for a replica's calls to end before it loads weights under the remaining
    ones. Streams last up to 5 s; if all of them are waited for, the last replica loads
    after 8 s."""
    announces: bool = True
    """Whether a load is announced to all nodes before the replica gets the order."""


class GuardPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How requests that were running when replicas crashed are treated."""

    is_enforced: bool = True
    """Whether they are held back or rejected, rather than only monitored."""
    shares: bool = True
    """Whether nodes inform each other of crashes and the requests running there."""
    blocks: bool = True
    """Whether crashes are attributed to shared prompt blocks too."""


class LimitStrategy(enum.StrEnum):
    """How nodes enforce a customer's limit together."""

    POOLS = "pools"
    """Coordinators grant credit from the shares of all nodes that they reach."""
    EQUAL_SHARES = "equal_shares"
    """Each node uses its own share only and requests no credit."""
    OFF = "off"


class LimitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How customers' limits are enforced."""

    strategy: LimitStrategy = msgspec.field(default=LimitStrategy.POOLS, name="way")
    max_wait_ms: float = 1_500.0
    """Time that a call may wait for credit when no coordinator answers. A link to a
    coordinator that was cut off is closed after 1.1 s."""
    by_urgency: bool = False
    """Whether a customer's more urgent calls get its credit first."""
    brief_wait_ms: float = 1_000.0
    """Time that a call over its customer's limit may wait. Two long prompts that arrive
    together exceed a small burst, which the rate soon makes up for."""


class OriginPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Which software versions new streams avoid."""

    fewer_ms: float = 100.0
    """Cost of a replica whose software version loses replicas."""
    kept_share: float = 0.2
    """Share of a replica's room that is kept for streams that can go on only at its
    software version, where that has few replicas."""


class UnevenLoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """What placement takes into account where replicas state their contention."""

    speeds: bool = True
    """Whether the learned speed of each replica counts."""
    shares: bool = True
    """Whether the share of replicas for short prompts follows the work."""


class RelayPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All parameters of the relay path."""

    placement: PlacementPolicy = PlacementPolicy()
    retries: RetryPolicy = RetryPolicy()
    queue: QueuePolicy = QueuePolicy()
    rollout: RolloutPolicy = RolloutPolicy()
    guard: GuardPolicy = GuardPolicy()
    limits: LimitPolicy = LimitPolicy()
    origins: OriginPolicy = OriginPolicy()
    uneven: UnevenLoadPolicy = UnevenLoadPolicy()
