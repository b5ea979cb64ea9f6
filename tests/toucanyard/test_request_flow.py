from __future__ import annotations

import pytest

from core_world import CoreWorld
from toucanyard.core_events import CallerLeft, DispatchFinished, LogStateSeen
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import RequestId
from toucanyard.requests import (
    CachedAnswer,
    Dispatch,
    DispatchEnding,
    Outcome,
    Refuse,
    Repeatability,
    Replay,
)

ANSWER = CachedAnswer(200, "application/json", b"{}")


@pytest.fixture
def world() -> CoreWorld:
    return CoreWorld()


def end(world: CoreWorld, request_id: RequestId, ending: DispatchEnding) -> None:
    dispatch = world.find_last(request_id)
    assert isinstance(dispatch, Dispatch)
    answer = ANSWER if ending is DispatchEnding.COMPLETED else None
    outcome = Outcome(request_id, dispatch.endpoint, ending, answer=answer)
    world.handle(DispatchFinished(outcome))


def test_request_is_dispatched_and_ends_with_one_reply_each(world: CoreWorld) -> None:
    request_id = world.arrive("r1")
    end(world, request_id, DispatchEnding.COMPLETED)
    assert isinstance(world.replies[request_id][0], Dispatch)
    assert world.replies[request_id][1:] == [None]
    assert world.core.flow.count_pending() == 0
    assert world.core.admission.count_running() == 0


@pytest.mark.parametrize("ending", [DispatchEnding.NOT_SENT, DispatchEnding.FAILED])
def test_retry_goes_to_an_endpoint_that_was_not_tried(
    world: CoreWorld, ending: DispatchEnding
) -> None:
    # The caller gets one answer. An endpoint that failed is excluded from the next
    # attempt, or a retry would spend the budget on the same endpoint.
    request_id = world.arrive("r1")
    end(world, request_id, ending)
    first, second = world.replies[request_id]
    assert isinstance(first, Dispatch) and isinstance(second, Dispatch)
    assert second.endpoint != first.endpoint
    assert second.attempt == 2


def test_run_once_request_that_was_lost_is_never_sent_again(world: CoreWorld) -> None:
    # The caller gets OUTCOME_UNKNOWN. The connection failed after the request was sent:
    # a second attempt could run it twice, and NOT_RUN could be false.
    request_id = world.arrive("r1", Repeatability.RUN_ONCE, is_service=True)
    end(world, request_id, DispatchEnding.LOST)
    refusal = world.find_last(request_id)
    assert isinstance(refusal, Refuse)
    assert refusal.kind is ErrorKind.OUTCOME_UNKNOWN
    assert refusal.ending is Ending.UNKNOWN


def test_refusal_after_a_lost_try_never_says_not_run(world: CoreWorld) -> None:
    # The caller gets UNKNOWN with a retry delay. The first attempt was lost and may
    # have run, even though the later ones provably did not.
    request_id = world.arrive("r1")
    end(world, request_id, DispatchEnding.LOST)
    while isinstance(world.find_last(request_id), Dispatch):
        end(world, request_id, DispatchEnding.NOT_SENT)
    refusal = world.find_last(request_id)
    assert isinstance(refusal, Refuse)
    assert refusal.ending is Ending.UNKNOWN
    assert refusal.retry_after_ms > 0


def test_keyed_request_is_dispatched_only_after_its_claim_was_read(
    world: CoreWorld,
) -> None:
    # Dispatching after the append alone would run the key twice if another node's claim
    # precedes this one in the log.
    request_id = world.arrive("r1", Repeatability.KEYED, "hold-1", is_service=True)
    assert request_id not in world.replies
    world.read_log()
    assert isinstance(world.find_last(request_id), Dispatch)


def test_retry_of_an_answered_key_gets_the_first_answer(world: CoreWorld) -> None:
    first = world.arrive("r1", Repeatability.KEYED, "hold-1", is_service=True)
    world.read_log()
    end(world, first, DispatchEnding.COMPLETED)
    second = world.arrive("r2", Repeatability.KEYED, "hold-1", is_service=True)
    assert world.find_last(second) == Replay(second, ANSWER)
    assert world.core.admission.count_running() == 0


@pytest.mark.parametrize(
    ("key_age_ms", "ending"), [(0.0, Ending.NOT_RUN), (None, Ending.UNKNOWN)]
)
def test_early_refusal_of_a_key_says_not_run_of_a_first_try_only(
    world: CoreWorld, key_age_ms: float | None, ending: Ending
) -> None:
    # The caller gets an immediate refusal while the log is down. An earlier attempt may
    # have run on another node, so only a declared first attempt gets NOT_RUN.
    world.handle(LogStateSeen(False))
    request_id = world.arrive(
        "r1", Repeatability.KEYED, "hold-1", key_age_ms, is_service=True
    )
    refusal = world.find_last(request_id)
    assert isinstance(refusal, Refuse)
    assert refusal.kind is ErrorKind.LOG_UNAVAILABLE
    assert refusal.ending is ending


def test_repeatable_requests_go_on_while_the_log_is_down(world: CoreWorld) -> None:
    world.handle(LogStateSeen(False))
    assert isinstance(world.find_last(world.arrive("r1")), Dispatch)


def test_every_step_of_a_request_is_explained(world: CoreWorld) -> None:
    request_id = world.arrive("r1")
    end(world, request_id, DispatchEnding.NOT_SENT)
    end(world, request_id, DispatchEnding.COMPLETED)
    record = world.core.flow.records.explanations.find(request_id)
    assert record is not None
    names = [type(step).__name__ for step in record.steps]
    assert names == ["Sent", "Ended", "Sent", "Ended"]
    assert record.configuration_version == 1


def test_endpoint_that_turned_away_is_left_alone_for_a_while(world: CoreWorld) -> None:
    # An engine that loads weights rejects requests while its load looks low. Without a
    # backoff, each request would go to it first and waste an attempt.
    first = world.arrive("r1")
    dispatch = world.find_last(first)
    assert isinstance(dispatch, Dispatch)
    end(world, first, DispatchEnding.REFUSED)
    later = [world.find_last(world.arrive(f"r{number}")) for number in range(2, 8)]
    assert all(isinstance(each, Dispatch) for each in later)
    assert dispatch.endpoint not in {
        each.endpoint for each in later if isinstance(each, Dispatch)
    }


def test_retries_end_when_every_endpoint_turned_away(world: CoreWorld) -> None:
    # The caller gets a refusal with a retry delay. Retrying over and over among
    # endpoints that all reject requests would amplify an overload.
    request_id = world.arrive("r1")
    while isinstance(world.find_last(request_id), Dispatch):
        end(world, request_id, DispatchEnding.REFUSED)
    refusal = world.find_last(request_id)
    assert isinstance(refusal, Refuse)
    assert refusal.ending is Ending.NOT_RUN
    assert len(world.replies[request_id]) <= 4
    later = world.arrive("r2")
    end(world, later, DispatchEnding.REFUSED)
    assert isinstance(world.find_last(later), Refuse)


def test_dispatch_that_found_its_caller_gone_is_taken_back(world: CoreWorld) -> None:
    # The caller disconnects just as the dispatch is ordered, so it is not carried out.
    # A retry of the key must get NOT_RUN immediately; otherwise it would wait for a
    # request that never ends.
    first = world.arrive("r1", Repeatability.KEYED, "hold-1", is_service=True)
    world.read_log()
    assert isinstance(world.find_last(first), Dispatch)
    world.handle(CallerLeft(first))
    assert world.core.admission.count_running() == 0
    second = world.arrive("r2", Repeatability.KEYED, "hold-1", is_service=True)
    refusal = world.find_last(second)
    assert isinstance(refusal, Refuse)
    assert (refusal.kind, refusal.ending) == (ErrorKind.KEY_SEALED, Ending.NOT_RUN)
