"""Hold the figures by which relayed calls are placed, retried and rolled over.

Each mechanism of the relay path reads its figures here, so that an experiment can play
the same load with one of them changed or switched off. Durations end in `_ms`; prices
are in milliseconds of the first event, which scores are counted in.
"""

from __future__ import annotations

import enum

import msgspec


class PlacementPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Prices by which the replica of a prompt is chosen."""

    affinity_ms: float = 40.0
    """Wait that a cold prompt accepts to be read where hashing sends it."""
    reread_ms_per_token: float = 0.1
    """Price of reading a part that another replica is reading now: about as much of an
    answer's worth is lost by it as by so many milliseconds."""
    failure_ms: float = 150.0
    """Price of each recent failure of a replica."""
    old_weights_ms: float = 60.0
    """Price of a replica that still has older weights, which are replaced soon."""
    late_weights_ms: float = 700.0
    """The same, once answers on older weights have lost a part of their worth.

    At 1,500 all calls queued at the two of six replicas that had new weights when a
    roll-out was held up, up to 1.5 s each, and were late; the worth of such a run rose
    by 0.02 (emulator, 6 seeds).
    """
    running_ms: float = 1.0
    """Price of each call that runs at a replica: it slows the others' tokens."""
    pause_share: float = 0.1
    """Price, for each stream that runs at a replica, of the time that it pauses while a
    prompt is read there. Without it one replica reads long prompts all the time and its
    streams' events come too late."""
    fetches: bool = True
    """Whether parts that a replica lacks are fetched from whoever holds them."""
    saves: bool = True
    """Whether what nobody held is kept in a store beside the replicas."""


class RetryPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """When a call is tried elsewhere."""

    call_patience: float = 3.0
    """Targets after which a call that may run twice is tried elsewhere."""
    stream_patience: float = 2.8
    """Targets after which a stream that may be resumed is begun elsewhere. Callers
    leave after four without an event. At 2.0, a quarter of the long prompts of a fleet
    under load were begun twice, most of them at replicas that were only slow."""
    connect_ms: float = 150.0
    """Time that a replica has to take a connection. One in reach takes it within
    milliseconds; nothing was sent to it before, so the call may go elsewhere. At 400,
    calls that met a silent replica missed targets of 400 and 600 ms."""
    rests: bool = True
    """Whether a replica that could not be reached gets no calls for a while."""
    probes: bool = True
    """Whether it then gets none until it has answered a report, instead of every node
    finding out by a call each second that it is still away; each such call was late."""
    is_bounded: bool = True
    """Whether retries are bounded by the budget of all nodes."""


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How calls wait that no replica has room for."""

    is_ranked: bool = True
    """Whether the most urgent goes first, then the one with the nearest deadline."""
    refuses_early: bool = True
    """Whether a call that would wait past its deadline is refused at once."""


class RolloutPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How new weights are brought to replicas."""

    share: float = 0.4
    """Share of the replicas that change at once; with more, each load takes longer, and
    the rest can't carry the calls: with all but two of 6 changing, first tokens took
    5 s."""
    min_changing: int = 2
    is_paced: bool = True
    """Whether the share is of the replicas that report, and more change at once only if
    the time for new weights would else run out. With two of six silent and one leaving,
    the worth of a run rose by 0.04 (emulator, 7 seeds)."""
    drain_ms: float = 600.0
    """How long a replica's calls may take to end before it loads under those left.
    Streams last up to 5 s; if all of them are waited for, the last replica loads after
    8 s."""
    announces: bool = True
    """Whether all nodes are told of a load before the replica is ordered."""


class GuardPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How requests are treated under which replicas crashed."""

    is_enforced: bool = True
    """Whether they are held back or rejected, instead of being watched only."""
    shares: bool = True
    """Whether nodes tell each other of crashes and of what was under way there."""


class LimitStrategy(enum.StrEnum):
    """How nodes keep a customer's limit together."""

    POOLS = "pools"
    """Homes give out credit from the shares of all nodes that they reach."""
    EQUAL_SHARES = "equal_shares"
    """Each node keeps to its own share and asks nobody."""
    OFF = "off"


class LimitPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """How customers' limits are kept."""

    strategy: LimitStrategy = msgspec.field(default=LimitStrategy.POOLS, name="way")
    max_wait_ms: float = 1_500.0
    """How long a call may wait for credit that no home answers for. A link to a home
    that is cut off is given up after 1.1 s."""
    brief_wait_ms: float = 1_000.0
    """How long a call may wait that is over its customer's limit. Two long prompts that
    come together exceed a small burst; the rate makes up for it in a moment."""


class RelayPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All of them."""

    placement: PlacementPolicy = PlacementPolicy()
    retries: RetryPolicy = RetryPolicy()
    queue: QueuePolicy = QueuePolicy()
    rollout: RolloutPolicy = RolloutPolicy()
    guard: GuardPolicy = GuardPolicy()
    limits: LimitPolicy = LimitPolicy()
