from __future__ import annotations

import msgspec

from core_world import CUSTOMER, SERVICE, CoreWorld
from toucanyard.configuration import PriorityClass
from toucanyard.core_events import DispatchFinished, RequestArrived
from toucanyard.names import CustomerName, RequestId
from toucanyard.requests import (
    CachedAnswer,
    Dispatch,
    DispatchEnding,
    Outcome,
    Repeatability,
    Replay,
    Request,
    ServiceTarget,
    Verdict,
)

OTHER = CustomerName("harbour")
REQUEST = Request(
    RequestId("r1"),
    CUSTOMER,
    PriorityClass.CALL,
    ServiceTarget(SERVICE, "POST", "/holds"),
    Repeatability.KEYED,
    1_000.0,
    60_000.0,
    1,
    "hold-1",
    None,
    b"digest",
)


def arrive(world: CoreWorld, name: str, customer: CustomerName) -> Verdict | None:
    request_id = RequestId(name)
    request = msgspec.structs.replace(
        REQUEST, request_id=request_id, customer=customer, arrived_ms=world.now_ms
    )
    world.handle(RequestArrived(request))
    world.read_log()
    return world.replies[request_id][-1]


def complete(world: CoreWorld, verdict: Verdict | None, text: bytes) -> None:
    assert isinstance(verdict, Dispatch)
    answer = CachedAnswer(200, "application/json", text)
    outcome = Outcome(
        verdict.request_id, verdict.endpoint, DispatchEnding.COMPLETED, answer=answer
    )
    world.handle(DispatchFinished(outcome))


def test_equal_keys_of_two_customers_are_two_keys() -> None:
    # Two customers choose the same key for the same call. Both calls run, and each
    # customer gets its own answer. If keys were not separated by customer, the second
    # one would get the answer to the first one, and its call would never run.
    world = CoreWorld()
    complete(world, arrive(world, "r1", CUSTOMER), b"of the first")
    complete(world, arrive(world, "r2", OTHER), b"of the other")
    for name, customer, text in (
        ("r3", CUSTOMER, b"of the first"),
        ("r4", OTHER, b"of the other"),
    ):
        replay = arrive(world, name, customer)
        assert isinstance(replay, Replay)
        assert replay.answer.body == text
