"""Tests for the checks of a campaign: each violated guarantee is reported."""

from __future__ import annotations

import msgspec
import pytest

from toucanyard_standins.campaign_callers import ObservedHold, ObservedStream
from toucanyard_standins.campaign_checks import (
    iterate_hold_problems,
    iterate_stream_problems,
)
from toucanyard_standins.plain_service import CallAnswer

KEY = "hold-1"
ANSWER = msgspec.json.encode(
    CallAnswer("s", 1, "r", "ferry", "POST", "/holds", len(KEY))
)
FOREIGN = msgspec.json.encode(
    CallAnswer("s", 2, "q", "ferry", "POST", "/holds", len(KEY) + 1)
)


@pytest.mark.parametrize(
    ("endings", "bodies", "executions"),
    [
        (["unknown"], [], 2),
        (["not_run"], [], 1),
        (["answered"], [ANSWER], 0),
        (["answered", "answered"], [ANSWER, FOREIGN], 1),
        (["answered"], [FOREIGN], 1),
    ],
    ids=["ran twice", "not run and ran", "never ran", "two answers", "another's"],
)
def test_broken_promise_to_a_hold_is_found(
    endings: list[str], bodies: list[bytes], executions: int
) -> None:
    hold = ObservedHold(KEY, False, endings, bodies)
    assert list(iterate_hold_problems([hold], {KEY: executions}))


@pytest.mark.parametrize(
    ("endings", "bodies", "executions"),
    [
        (["not_run", "answered"], [ANSWER], 1),
        (["", "unknown"], [], 1),
        (["", "unknown"], [], 0),
        (["not_run"], [], 0),
        ([], [], 0),
    ],
)
def test_kept_promise_to_a_hold_is_no_problem(
    endings: list[str], bodies: list[bytes], executions: int
) -> None:
    hold = ObservedHold(KEY, False, endings, bodies)
    assert not list(iterate_hold_problems([hold], {KEY: executions}))


def make_stream(*words: str, end: str = "data: [DONE]") -> ObservedStream:
    events = "".join(
        f'id: {number}\ndata: {{"id":"r","object":"o","created":1,"model":"m",'
        f'"choices":[{{"finish_reason":null,"text":"{word}","index":0}}]}}\n\n'
        for number, word in enumerate(words)
    )
    return ObservedStream(0, 2, 7, f"{events}{end}\n\n".encode(), 200, is_over=True)


def test_broken_streams_are_found() -> None:
    whole = make_stream("a", "b")
    gap = make_stream("a", "b")
    gap.body = gap.body.replace(b"id: 1", b"id: 2")
    cut = make_stream("a", end="")
    cut.is_cut = True
    for broken in (make_stream("a"), make_stream("a", end=""), gap, cut):
        assert list(iterate_stream_problems([whole, broken], frozenset()))


def test_cut_of_a_killed_node_and_marked_end_are_no_problem() -> None:
    cut = make_stream("a", end="")
    cut.is_cut = True
    marked = make_stream("a", end="event: error")
    assert not list(iterate_stream_problems([cut, marked], frozenset({7})))
