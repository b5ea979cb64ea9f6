"""Determine from nodes' logs which calls were lost or late, when, and why.

A call logs the events `sent` and `ended` for each dispatch, or `refused`. The reason
of a late call is the phase that took most of its time, so that each call has exactly
one reason and the counts add up.
"""

from __future__ import annotations

import enum
import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from typing import Final

import msgspec

_FIELD: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ANSWERED: Final = "answered"
_CALL_EVENTS: Final = frozenset(("sent", "ended", "refused", "started"))


class LossReason(enum.StrEnum):
    """The reason why a call was lost or late."""

    REFUSED = "refused"
    REPLICA_LOST = "replica lost"
    CALLER_LEFT = "caller left"
    END_MISSING = "no end in the log"
    """The node was killed, or the log is truncated."""
    NODE_QUEUE = "waited at the node"
    EARLIER_ATTEMPTS = "tried elsewhere"
    REPLICA_QUEUE = "queued at the replica"
    PROMPT_READ = "prompt read or fetched"


class CallTrace(msgspec.Struct):
    """The data collected from the log lines of one call."""

    route: str = ""
    started_ms: float = 0.0
    """Unix time at which the call arrived, estimated from its first log line."""
    queued_ms: float = 0.0
    """Time queued at the node before the first dispatch."""
    wait_ms: float = 0.0
    """Queueing time expected at the replica of the last dispatch."""
    last_sent_ms: float = 0.0
    dispatches: int = 0
    ending: str = ""
    refusal: str = ""
    first_ms: float | None = None
    after_ms: float = 0.0
    target_ms: float | None = None


class LossReport(msgspec.Struct, frozen=True):
    """Counts of lost and late calls by reason, route and time window."""

    calls: int
    in_time: int
    reasons: dict[str, int]
    routes: dict[str, int]
    windows: dict[int, tuple[int, int]]
    """Maps seconds since the first call to (calls, calls lost or late)."""


class InvalidLogError(Exception):
    """A file is not a log of a node."""


def parse_calls(lines: Iterable[str]) -> dict[str, CallTrace]:
    """Parse log lines and return the traces of calls by call id."""
    calls: dict[str, CallTrace] = {}
    is_log = False
    for line in lines:
        fields = {key: value.strip('"') for key, value in _FIELD.findall(line)}
        event = fields.get("event")
        if event not in _CALL_EVENTS or "timestamp" not in fields:
            continue
        is_log = True
        name = fields.get("call")
        if name:
            at_ms = _parse_time(fields["timestamp"])
            call = calls.setdefault(name, CallTrace(started_ms=at_ms))
            _apply_event(call, event, fields, at_ms)
    if not is_log:
        raise InvalidLogError("it holds no line that a node writes")
    return calls


def _apply_event(
    call: CallTrace, event: str, fields: dict[str, str], at_ms: float
) -> None:
    match event:
        case "sent":
            if not call.dispatches:
                call.queued_ms = _parse_number(fields, "queued_ms") or 0.0
                call.started_ms = at_ms - call.queued_ms
            call.dispatches += 1
            call.last_sent_ms = at_ms
            call.wait_ms = _parse_number(fields, "wait_ms") or 0.0
        case "ended":
            call.route = fields.get("route", "")
            call.ending = fields.get("ending", "")
            call.first_ms = _parse_number(fields, "first_ms")
            call.after_ms = _parse_number(fields, "after_ms") or 0.0
            call.target_ms = _parse_number(fields, "target_ms")
        case "refused":
            call.refusal = fields.get("kind", "")


def _parse_time(text: str) -> float:
    try:
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError as error:
        raise InvalidLogError(f"no time: {text[:40]!r}") from error


def _parse_number(fields: dict[str, str], name: str) -> float | None:
    text = fields.get(name, "")
    try:
        return float(text) if text and text != "None" else None
    except ValueError as error:
        raise InvalidLogError(f"{name} is no number: {text[:40]!r}") from error


def find_reason(call: CallTrace) -> LossReason | None:
    """Return why a call was lost or late, or None if it was in time."""
    if call.ending != _ANSWERED:
        if call.refusal and not call.dispatches:
            return LossReason.REFUSED
        if not call.ending:
            return LossReason.END_MISSING
        has_caller_left = call.ending == "given_up"
        return LossReason.CALLER_LEFT if has_caller_left else LossReason.REPLICA_LOST
    latency_ms = call.after_ms if call.first_ms is None else call.first_ms
    if call.target_ms is None or latency_ms <= call.target_ms:
        return None
    until_sent_ms = call.last_sent_ms - call.started_ms
    at_replica_ms = max(latency_ms - until_sent_ms, 0.0)
    queued_ms = min(call.wait_ms, at_replica_ms)
    durations_ms = {
        LossReason.NODE_QUEUE: call.queued_ms,
        LossReason.EARLIER_ATTEMPTS: until_sent_ms - call.queued_ms,
        LossReason.REPLICA_QUEUE: queued_ms,
        LossReason.PROMPT_READ: at_replica_ms - queued_ms,
    }
    return max(durations_ms, key=lambda reason: durations_ms[reason])


def build_report(calls: dict[str, CallTrace], window_s: int) -> LossReport:
    """Return the counts of calls by reason, route and window."""
    reasons: Counter[str] = Counter()
    routes: Counter[str] = Counter()
    call_counts: Counter[int] = Counter()
    lost: Counter[int] = Counter()
    started_ms = min((call.started_ms for call in calls.values()), default=0.0)
    for call in calls.values():
        window = int((call.started_ms - started_ms) / 1000) // window_s * window_s
        call_counts[window] += 1
        reason = find_reason(call)
        if reason is not None:
            reasons[reason.value] += 1
            routes[call.route or "(not sent)"] += 1
            lost[window] += 1
    return LossReport(
        calls=len(calls),
        in_time=len(calls) - reasons.total(),
        reasons=dict(reasons.most_common()),
        routes=dict(routes.most_common()),
        windows={
            window: (call_counts[window], lost[window])
            for window in sorted(call_counts)
        },
    )
