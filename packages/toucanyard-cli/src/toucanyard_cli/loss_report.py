"""Tell from nodes' logs which calls were lost or late, when, and for which reason.

A call leaves lines `sent` and `ended` for each dispatch, or `refused`. What took most
of a late call's time is its reason, so each call has one and they add up.
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
_WANTED: Final = frozenset(("sent", "ended", "refused", "started"))


class Reason(enum.StrEnum):
    """Why a call was lost or late."""

    REFUSED = "refused"
    REPLICA_LOST = "replica lost"
    CALLER_LEFT = "caller left"
    NO_END = "no end in the log"
    """The node was killed, or the log is cut."""
    WAITED = "waited at the node"
    TRIED_ELSEWHERE = "tried elsewhere"
    QUEUED = "queued at the replica"
    READ = "prompt read or fetched"


class CallTrace(msgspec.Struct):
    """What the lines of one call say."""

    route: str = ""
    begun_ms: float = 0.0
    """Of its first line, in Unix time."""
    queued_ms: float = 0.0
    """Before its first dispatch."""
    wait_ms: float = 0.0
    """Expected at the replica of its last dispatch."""
    last_sent_ms: float = 0.0
    dispatches: int = 0
    ending: str = ""
    refusal: str = ""
    first_ms: float | None = None
    after_ms: float = 0.0
    target_ms: float | None = None


class LossReport(msgspec.Struct, frozen=True):
    """Calls by what came of them; `reasons` and the two others count the same calls."""

    calls: int
    in_time: int
    reasons: dict[str, int]
    routes: dict[str, int]
    windows: dict[int, tuple[int, int]]
    """By seconds from the first line: calls, and those lost or late."""


class LogInvalidError(Exception):
    """A file holds no lines of a node."""


def read_calls(lines: Iterable[str]) -> dict[str, CallTrace]:
    """Return the calls that the lines of some nodes tell of."""
    calls: dict[str, CallTrace] = {}
    is_log = False
    for line in lines:
        fields = {key: value.strip('"') for key, value in _FIELD.findall(line)}
        event = fields.get("event")
        if event not in _WANTED or "timestamp" not in fields:
            continue
        is_log = True
        name = fields.get("call")
        if name:
            at_ms = _read_time(fields["timestamp"])
            call = calls.setdefault(name, CallTrace(begun_ms=at_ms))
            _note(call, event, fields, at_ms)
    if not is_log:
        raise LogInvalidError("it holds no line that a node writes")
    return calls


def _note(call: CallTrace, event: str, fields: dict[str, str], at_ms: float) -> None:
    match event:
        case "sent":
            if not call.dispatches:
                call.queued_ms = _read_figure(fields, "queued_ms") or 0.0
                call.begun_ms = at_ms - call.queued_ms
            call.dispatches += 1
            call.last_sent_ms = at_ms
            call.wait_ms = _read_figure(fields, "wait_ms") or 0.0
        case "ended":
            call.route = fields.get("route", "")
            call.ending = fields.get("ending", "")
            call.first_ms = _read_figure(fields, "first_ms")
            call.after_ms = _read_figure(fields, "after_ms") or 0.0
            call.target_ms = _read_figure(fields, "target_ms")
        case "refused":
            call.refusal = fields.get("kind", "")


def _read_time(text: str) -> float:
    try:
        return datetime.fromisoformat(text).timestamp() * 1000
    except ValueError as error:
        raise LogInvalidError(f"no time: {text[:40]!r}") from error


def _read_figure(fields: dict[str, str], name: str) -> float | None:
    text = fields.get(name, "")
    try:
        return float(text) if text and text != "None" else None
    except ValueError as error:
        raise LogInvalidError(f"{name} is no number: {text[:40]!r}") from error


def find_reason(call: CallTrace) -> Reason | None:
    """Return why a call was lost or late; None if it was in time."""
    if call.ending != _ANSWERED:
        if call.refusal and not call.dispatches:
            return Reason.REFUSED
        if not call.ending:
            return Reason.NO_END
        is_left = call.ending == "given_up"
        return Reason.CALLER_LEFT if is_left else Reason.REPLICA_LOST
    took_ms = call.after_ms if call.first_ms is None else call.first_ms
    if call.target_ms is None or took_ms <= call.target_ms:
        return None
    before_ms = call.last_sent_ms - call.begun_ms
    at_replica_ms = max(took_ms - before_ms, 0.0)
    queued_ms = min(call.wait_ms, at_replica_ms)
    parts = {
        Reason.WAITED: call.queued_ms,
        Reason.TRIED_ELSEWHERE: before_ms - call.queued_ms,
        Reason.QUEUED: queued_ms,
        Reason.READ: at_replica_ms - queued_ms,
    }
    return max(parts, key=lambda reason: parts[reason])


def add_up(calls: dict[str, CallTrace], window_s: int) -> LossReport:
    """Return the counts by reason, route and window."""
    reasons: Counter[str] = Counter()
    routes: Counter[str] = Counter()
    asked: Counter[int] = Counter()
    lost: Counter[int] = Counter()
    begun_ms = min((call.begun_ms for call in calls.values()), default=0.0)
    for call in calls.values():
        window = int((call.begun_ms - begun_ms) / 1000) // window_s * window_s
        asked[window] += 1
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
        windows={window: (asked[window], lost[window]) for window in sorted(asked)},
    )
