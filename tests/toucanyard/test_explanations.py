"""Every retained decision can be explained, compressed or not."""

from __future__ import annotations

from toucanyard.core_events import RequestTurnedAway
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.explanations import (
    BATCH,
    MAX_OPEN,
    MAX_STEPS,
    DecisionRecord,
    Ended,
    ExplanationRing,
    Queued,
    Refused,
    Sent,
)
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.request_records import RequestRecords
from toucanyard.requests import DispatchEnding, Refuse
from toucanyard.scoring import Score

ENDPOINT = EndpointName("e")
MAX_RECORDS = MAX_OPEN + 4 * BATCH


def make_id(number: int) -> RequestId:
    return RequestId(f"n-i-{number}")


def fill(ring: ExplanationRing, count: int) -> None:
    for number in range(count):
        ring.open(DecisionRecord(make_id(number), CustomerName("c"), 1, 0.0))
        score = Score(ENDPOINT, number + 0.5, 0.0, 0.0, 7, True, False, 1.5)
        ring.add_step(make_id(number), Sent(1.0, ENDPOINT, 1, 12, (score,)))


def test_packed_record_is_found_whole_and_the_oldest_are_dropped() -> None:
    ring = ExplanationRing(MAX_RECORDS)
    fill(ring, 2 * MAX_RECORDS)
    assert MAX_RECORDS - BATCH <= len(ring) <= MAX_RECORDS + BATCH
    last = 2 * MAX_RECORDS - 1
    for number in (last, last - MAX_OPEN - 2 * BATCH):
        record = ring.find(make_id(number))
        assert record is not None
        assert record.request_id == make_id(number)
        (sent,) = record.steps
        assert isinstance(sent, Sent)
        assert sent.scores[0].total_ms == number + 0.5
    assert ring.find(make_id(0)) is None
    ring.add_step(make_id(0), Queued(2.0))
    assert ring.find(make_id(0)) is None


def test_step_of_a_request_that_outlasts_its_record_is_kept() -> None:
    """A stream lasts while thousands of requests follow it, and then fails.

    Its record has been compressed meanwhile. If its end were dropped, the operator
    would only read that it was sent. The number of steps stays bounded however many are
    added.
    """
    ring = ExplanationRing(MAX_RECORDS)
    fill(ring, MAX_OPEN + 2 * BATCH)
    ended = Ended(9.0, ENDPOINT, DispatchEnding.LOST, None, 0, 0)
    ring.add_step(make_id(3), ended)
    record = ring.find(make_id(3))
    assert record is not None
    assert record.steps[-1] == ended
    for _ in range(2 * MAX_STEPS):
        ring.add_step(make_id(3), Queued(10.0))
    record = ring.find(make_id(3))
    assert record is not None
    assert len(record.steps) == MAX_STEPS


def test_request_that_a_face_refused_can_be_asked_about() -> None:
    """A customer requests a model that no rule allows, and asks about the request id.

    The core never saw the request, so without the record of the API front end the
    request would be unknown to the explanation.
    """
    records = RequestRecords()
    text = "no rule for the model"
    refusal = Refuse(make_id(1), ErrorKind.NOT_FOUND, Ending.NOT_RUN, text, 0)
    records.record_rejected(RequestTurnedAway(CustomerName("c"), 7, refusal), 5.0)
    record = records.explanations.find(make_id(1))
    assert record is not None
    assert record.configuration_version == 7
    (step,) = record.steps
    assert step == Refused(5.0, ErrorKind.NOT_FOUND, Ending.NOT_RUN, text, 0)
    assert records.statistics.list_refusals()[0].error == ErrorKind.NOT_FOUND
