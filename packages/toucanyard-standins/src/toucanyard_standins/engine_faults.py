"""Define the faults that can be injected into an engine, and its counters."""

from __future__ import annotations

import msgspec

from toucanyard_standins.endless_answers import EndlessKind
from toucanyard_standins.network_faults import NetworkFault


class Crash(msgspec.Struct, frozen=True, tag_field="fault", tag="crash"):
    """Close all connections, lose all streams and restart as a new incarnation."""

    down_ms: int = 0


class CutAfterEvents(msgspec.Struct, frozen=True, tag_field="fault", tag="cut_after"):
    """Close the connection of the next `count` streams after `events` events."""

    events: int
    count: int = 1


class DieAfterEvents(msgspec.Struct, frozen=True, tag_field="fault", tag="die_after"):
    """Crash after `events` more events were sent over all streams.

    With `spares_resumed`, events of completions that continue earlier text don't
    count: the fault can be set on every engine, and only the first one used crashes.
    """

    events: int
    down_ms: int = 0
    spares_resumed: bool = False


class SilenceAfterEvents(
    msgspec.Struct, frozen=True, tag_field="fault", tag="silence_after"
):
    """Silence all open connections after `events` more events were sent."""

    events: int


class CrossAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="cross"):
    """Respond to the next requests with the completion and id of another one."""

    count: int = 1


class DelayAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="delay"):
    """Delay the head of the next responses; the requests run without delay."""

    delay_ms: int
    count: int = 1


class AnswerWithoutEnd(msgspec.Struct, frozen=True, tag_field="fault", tag="endless"):
    """Send bytes that are no answer for the next requests, which run, until closed."""

    kind: EndlessKind
    count: int = 1


class SlowDown(msgspec.Struct, frozen=True, tag_field="fault", tag="slow"):
    """Multiply the duration of each step; a factor of 1 ends the fault."""

    factor: float


class RefuseRequests(msgspec.Struct, frozen=True, tag_field="fault", tag="refuse"):
    """Respond to new requests with 503 without running them."""

    is_on: bool


class StopHeartbeats(msgspec.Struct, frozen=True, tag_field="fault", tag="heartbeats"):
    """Send no heartbeat comments on streams that wait for tokens."""

    is_stopped: bool


class LoseCacheEvents(
    msgspec.Struct, frozen=True, tag_field="fault", tag="lose_events"
):
    """Lose a share of the cache events."""

    share: float


AnswerFault = (
    CutAfterEvents
    | DieAfterEvents
    | SilenceAfterEvents
    | CrossAnswers
    | DelayAnswers
    | AnswerWithoutEnd
    | SlowDown
    | RefuseRequests
    | StopHeartbeats
)
EngineFault = NetworkFault | AnswerFault | Crash | LoseCacheEvents


class EngineCounters(msgspec.Struct):
    """Counters of an engine process; an injected crash keeps them."""

    incarnation: str = ""
    executions: dict[str, int] = {}
    """Executions by request id."""
    keyed_executions: dict[str, int] = {}
    """Executions by Idempotency-Key."""
    cancelled: int = 0
    resumed: int = 0
    crossed: int = 0
    refused: int = 0
    crashes: int = 0
    events_sent: int = 0
    computed_blocks: int = 0
    matched_blocks: int = 0
    orders: int = 0
    open_connections: int = 0


class EngineFaults(msgspec.Struct):
    """The faults that are currently active."""

    cut_after_events: int = 0
    cut_count: int = 0
    die_after_events: int | None = None
    die_down_ms: int = 0
    die_spares_resumed: bool = False
    silence_after_events: int | None = None
    cross_count: int = 0
    delay_ms: int = 0
    delay_count: int = 0
    endless_kind: EndlessKind = EndlessKind.BODY_FAST
    endless_count: int = 0
    slow_factor: float = 1.0
    is_refusing: bool = False
    are_heartbeats_stopped: bool = False

    def switch(self, fault: AnswerFault) -> None:
        """Switch one fault on or off."""
        match fault:
            case CutAfterEvents(events, count):
                self.cut_after_events, self.cut_count = events, count
            case DieAfterEvents(events, down_ms, spares_resumed):
                self.die_after_events, self.die_down_ms = events, down_ms
                self.die_spares_resumed = spares_resumed
            case SilenceAfterEvents(events):
                self.silence_after_events = events
            case CrossAnswers(count):
                self.cross_count = count
            case DelayAnswers(delay_ms, count):
                self.delay_ms, self.delay_count = delay_ms, count
            case AnswerWithoutEnd(kind, count):
                self.endless_kind, self.endless_count = kind, count
            case SlowDown(factor):
                self.slow_factor = factor
            case RefuseRequests(is_on):
                self.is_refusing = is_on
            case StopHeartbeats(is_stopped):
                self.are_heartbeats_stopped = is_stopped
