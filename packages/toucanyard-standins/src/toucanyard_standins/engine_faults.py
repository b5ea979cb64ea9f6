"""Faults that an engine can be told to have, and its counters."""

from __future__ import annotations

import msgspec

from toucanyard_standins.network_faults import NetworkFault


class Crash(msgspec.Struct, frozen=True, tag_field="fault", tag="crash"):
    """Drop every connection and stream and come back empty under a new incarnation."""

    down_ms: int = 0


class CutAfterEvents(msgspec.Struct, frozen=True, tag_field="fault", tag="cut_after"):
    """Cut the connection of the next streams after so many events."""

    events: int
    count: int = 1


class DieAfterEvents(msgspec.Struct, frozen=True, tag_field="fault", tag="die_after"):
    """Crash once so many more events were sent over all streams.

    With `spares_resumed` the events of an answer that goes on with earlier text don't
    count, so every engine can be told to die and only the first one used does.
    """

    events: int
    down_ms: int = 0
    spares_resumed: bool = False


class SilenceAfterEvents(
    msgspec.Struct, frozen=True, tag_field="fault", tag="silence_after"
):
    """Make all open connections silent once so many more events were sent."""

    events: int


class CrossAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="cross"):
    """Give the next requests the answer and id of another request."""

    count: int = 1


class DelayAnswers(msgspec.Struct, frozen=True, tag_field="fault", tag="delay"):
    """Hold back the head of the next answers; the request itself runs at once."""

    delay_ms: int
    count: int = 1


class SlowDown(msgspec.Struct, frozen=True, tag_field="fault", tag="slow"):
    """Make each step take so many times longer; 1 ends it."""

    factor: float


class RefuseRequests(msgspec.Struct, frozen=True, tag_field="fault", tag="refuse"):
    """Answer new requests with 503 without running them."""

    is_on: bool


class StopHeartbeats(msgspec.Struct, frozen=True, tag_field="fault", tag="heartbeats"):
    """Send no comments on streams without tokens."""

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
    | SlowDown
    | RefuseRequests
    | StopHeartbeats
)
EngineFault = NetworkFault | AnswerFault | Crash | LoseCacheEvents


class EngineCounters(msgspec.Struct):
    """What an engine did since its process started; a crash keeps them."""

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
    """Which faults are switched on."""

    cut_after_events: int = 0
    cut_count: int = 0
    die_after_events: int | None = None
    die_down_ms: int = 0
    die_spares_resumed: bool = False
    silence_after_events: int | None = None
    cross_count: int = 0
    delay_ms: int = 0
    delay_count: int = 0
    slow_factor: float = 1.0
    is_refusing: bool = False
    are_heartbeats_stopped: bool = False

    def switch(self, fault: AnswerFault) -> None:
        """Switch one fault."""
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
            case SlowDown(factor):
                self.slow_factor = factor
            case RefuseRequests(is_on):
                self.is_refusing = is_on
            case StopHeartbeats(is_stopped):
                self.are_heartbeats_stopped = is_stopped
