"""Check responses to callers of a campaign against executions at endpoints."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence, Set
from typing import Final

import msgspec

from toucanyard_standins.campaign_callers import HTTP_OK, ObservedHold, ObservedStream
from toucanyard_standins.openai_shape import Completion
from toucanyard_standins.plain_service import CallAnswer

_ID: Final = re.compile(rb"^id: (\d+)$", re.MULTILINE)
_DATA: Final = re.compile(rb"^data: (\{.*)$", re.MULTILINE)
_DONE: Final = b"data: [DONE]"
_ERROR: Final = b"event: error"


def iterate_hold_problems(
    holds: Sequence[ObservedHold], executions: Mapping[str, int]
) -> Iterator[str]:
    """Yield a description of each violated guarantee of a hold.

    Violations are: a hold ran twice; its last ending is not_run although it ran; it
    was answered and did not run once; its answers differ or belong to another hold.
    """
    for hold in holds:
        count = executions.get(hold.key, 0)
        if count > 1:
            yield f"{hold.key} ran {count} times: {hold.endings}"
        if hold.endings and hold.endings[-1] == "not_run" and count:
            yield f"{hold.key} was reported as not run but ran: {hold.endings}"
        if hold.bodies and count != 1:
            yield f"{hold.key} was answered and ran {count} times: {hold.endings}"
        if len(set(hold.bodies)) > 1:
            yield f"{hold.key} has two answers: {hold.bodies}"
        for body in hold.bodies:
            answer = msgspec.json.decode(body, type=CallAnswer)
            if answer.body_bytes != len(hold.key):
                yield f"{hold.key} got the answer of another hold: {body!r}"


def iterate_stream_problems(
    streams: Sequence[ObservedStream], interrupted: Set[int]
) -> Iterator[str]:
    """Yield a description of each stream with a gap, no end or another prompt's text.

    Only nodes that were killed or paused, those in `interrupted`, may cut a stream.
    """
    texts: dict[tuple[int, int], str] = {}
    for stream in streams:
        if stream.status != HTTP_OK or not stream.is_over:
            continue
        if stream.is_cut_in_middle() and stream.process_id not in interrupted:
            yield f"stream of prompt {stream.prompt} was cut: {stream.body[-300:]!r}"
        numbers = [int(number) for number in _ID.findall(stream.body)]
        if numbers != list(range(len(numbers))):
            yield f"stream of prompt {stream.prompt} has numbers {numbers}"
        is_done = _DONE in stream.body
        if not is_done and not stream.is_cut and _ERROR not in stream.body:
            yield f"stream of prompt {stream.prompt} has no end: {stream.body[-300:]!r}"
        if not is_done:
            continue
        text = join_text(stream.body)
        if texts.setdefault((stream.prompt, stream.tokens), text) != text:
            yield f"stream of prompt {stream.prompt} has another text: {text!r}"


def join_text(body: bytes) -> str:
    """Return the text of a stream."""
    chunks = [
        msgspec.json.decode(data, type=Completion) for data in _DATA.findall(body)
    ]
    return "".join(choice.text or "" for chunk in chunks for choice in chunk.choices)
