from __future__ import annotations

import pytest
from endless_faults import EndlessScope
from soak_callers import ObservedCall
from soak_endless import (
    TROUBLE_MARGIN_S,
    iterate_endless_losses,
    iterate_large_nodes,
    list_troubled,
    parse_endless_calls,
)
from soak_plan import (
    EndlessAnswers,
    FaultTargets,
    ProcessFault,
    PublishWeights,
    plan_faults,
)
from soak_statements import Arrival

from toucanyard_standins.endless_answers import EndlessKind

SOFTWARE = {"e1": "v1", "e2": "v1", "e3": "v2", "d1": "", "d2": ""}
SENT_S = 10.0
ENDED_S = 12.0


def build_call(kind: str = "repeatable", **changes: object) -> ObservedCall:
    call = ObservedCall("c", kind, "n1", "/read/c", SENT_S, ended_s=ENDED_S)
    for name, value in ({"status": 504} | changes).items():
        setattr(call, name, value)
    return call


def find_losses(
    call: ObservedCall,
    *periods: tuple[str, float, float],
    endless: str = "d1",
    reached: tuple[str, ...] = ("d1",),
) -> list[str]:
    arrivals = [Arrival("c", each, SENT_S, False, 0.0) for each in reached]
    found = iterate_endless_losses([call], arrivals, {"c": endless}, periods, SOFTWARE)
    return list(found)


@pytest.mark.parametrize(
    "call",
    [
        build_call(),
        build_call(status=None),
        build_call(status=200, is_whole=False),
    ],
)
def test_call_lost_by_an_endless_answer_beside_a_sound_replica_is_found(
    call: ObservedCall,
) -> None:
    assert find_losses(call)
    # A fault of the other replica that has ended long before is no excuse.
    assert find_losses(call, ("d2", 1.0, SENT_S - TROUBLE_MARGIN_S - 0.1))
    # A replica that is listed again has another name.
    assert find_losses(call, endless="d1-2", reached=("d1-2", "d2-1"))


def test_lost_stream_needs_a_sound_replica_of_its_software_version() -> None:
    call = build_call("stream")
    assert find_losses(call, endless="e1", reached=("e1",))
    assert not find_losses(call, endless="e3", reached=("e3",))


def test_answered_calls_and_calls_that_run_once_are_no_loss() -> None:
    assert not find_losses(build_call(status=200, is_whole=True))
    assert not find_losses(build_call("once"))
    events = b"".join(b"id: %d\ndata: piece %d by v1\n\n" % (n, n) for n in range(1, 5))
    left = build_call("stream", status=200, body=events)
    assert not find_losses(left, endless="e1", reached=("e1",))


@pytest.mark.parametrize("name", ["d2", "n1"])
def test_call_beside_troubled_processes_is_no_loss(name: str) -> None:
    assert not find_losses(build_call(), (name, SENT_S - 1.0, SENT_S + 0.1))


def test_second_attempt_at_a_troubled_replica_is_no_loss() -> None:
    call = build_call("stream")
    period = ("e3", SENT_S, ENDED_S)
    assert not find_losses(call, period, endless="e1", reached=("e1", "e3"))


def test_large_node_is_found() -> None:
    assert list(iterate_large_nodes({"n1": 100.0, "n2": 99.0})) == ["n1 used 100 MB"]


def test_endless_answers_to_calls_are_found_in_the_log() -> None:
    lines = [
        "event=ran call=c",
        "event=endless replica=d1 scope=calls call=c kind=error for_s=1.5 bytes=9",
        "event=endless replica=d2 scope=reports kind=error for_s=9.5 bytes=9",
    ]
    assert parse_endless_calls(lines) == {"c": "d1"}


def test_faults_name_what_is_not_sound_during_them() -> None:
    replicas = tuple(SOFTWARE)
    endless = EndlessAnswers(
        ("d1",), EndlessKind.ERROR, (EndlessScope.CALLS,), for_s=1.0
    )
    assert list_troubled(endless, replicas) == ("d1",)
    assert list_troubled(ProcessFault("n1", "kill", 1.0), replicas) == ("n1",)
    assert list_troubled(PublishWeights(), replicas) == replicas


def test_seed_draws_endless_answers_of_replicas_and_of_the_store() -> None:
    targets = FaultTargets(("n1",), replicas=tuple(SOFTWARE), proxies=("d1",))
    planned = plan_faults(7, 300.0, 0.1, targets)
    drawn = [p.fault for p in planned if isinstance(p.fault, EndlessAnswers)]
    assert len({fault.kind for fault in drawn}) > 10
    assert {bool(fault.replicas) for fault in drawn} == {True, False}
    for fault in drawn:
        assert len({name[0] for name in fault.replicas}) <= 1
