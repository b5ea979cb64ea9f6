from __future__ import annotations

import random

from hypothesis import given, strategies as st

from placement_examples import CUSTOMERS, make_configuration, make_request
from toucanyard.admission import Admission, AdmissionAction, Admit
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.options import AdmissionLimits
from toucanyard.requests import Refuse

LARGE, SMALL = CUSTOMERS[0], CUSTOMERS[1]


def make_admission(
    limits: AdmissionLimits | None = None, endpoints: int = 2, max_running: int = 4
) -> Admission:
    admission = Admission(limits or AdmissionLimits(), random.Random(1))
    admission.apply_configuration(make_configuration(endpoints, max_running))
    return admission


def find_admitted(actions: list[AdmissionAction]) -> list[RequestId]:
    return [each.request.request_id for each in actions if isinstance(each, Admit)]


def find_refused(actions: list[AdmissionAction]) -> list[Refuse]:
    return [each for each in actions if isinstance(each, Refuse)]


def test_flood_of_one_customer_leaves_room_for_another() -> None:
    """Guards against first-come, first-served order under a flood.

    A small customer's request arrives after a large customer has filled the queue; it
    must be admitted at once rather than after the whole flood.
    """
    admission = make_admission()
    for number in range(60):
        admission.offer(make_request(number, customer=LARGE), 0.0)
    actions = admission.offer(make_request(100, customer=SMALL), 1.0)
    assert find_admitted(actions) == ["r100"]


def test_passed_deadline_is_refused_not_run() -> None:
    """Guards against dispatching a queued request after its deadline.

    It has not been dispatched, so the caller must get a refusal with "not run".
    """
    admission = make_admission(endpoints=1, max_running=1)
    admission.offer(make_request(1), 0.0)
    assert admission.offer(make_request(2, deadline_ms=100.0), 1.0) == []
    (refusal,) = find_refused(admission.tick(100.0))
    assert refusal.request_id == "r2"
    assert refusal.kind == ErrorKind.DEADLINE_EXCEEDED
    assert refusal.ending == Ending.NOT_RUN
    assert find_admitted(admission.release(RequestId("r1"), 101.0)) == []


def test_hopeless_wait_is_refused_on_arrival() -> None:
    """Guards against queueing a request that can't be dispatched before its deadline.

    Ten requests are queued, one ends per second, and the deadline is in two seconds.
    """
    admission = make_admission(endpoints=1, max_running=1)
    for number in range(11):
        admission.offer(make_request(number), 0.0)
    for number in range(3):
        admission.release(RequestId(f"r{number}"), 1000.0 * (number + 1))
    actions = admission.offer(make_request(50, deadline_ms=5000.0), 3000.0)
    (refusal,) = find_refused(actions)
    assert refusal.kind == ErrorKind.OVERLOADED
    assert refusal.retry_after_ms > 2000


def test_abandoned_request_is_given_up_at_once() -> None:
    admission = make_admission(endpoints=1, max_running=1)
    admission.offer(make_request(1), 0.0)
    admission.offer(make_request(2), 0.0)
    (refusal,) = find_refused(admission.abandon(RequestId("r2"), 1.0))
    assert refusal.ending == Ending.NOT_RUN
    assert admission.count_queued() == 0
    admission.abandon(RequestId("r1"), 2.0)
    assert admission.count_running() == 0


def test_full_queue_refuses_the_customer_that_waits_most() -> None:
    admission = make_admission(AdmissionLimits(max_queued=5), 1, 1)
    for number in range(6):
        admission.offer(make_request(number, customer=LARGE), 0.0)
    actions = admission.offer(make_request(9, customer=SMALL), 0.0)
    assert [each.request_id for each in find_refused(actions)] == ["r5"]


def test_slow_endpoint_gets_a_lower_limit() -> None:
    """Guards against a limit that ignores the latency of first tokens.

    The engine's first tokens take two seconds. With a fixed limit, requests would queue
    inside the engine rather than at the node.
    """
    admission = make_admission(endpoints=1, max_running=8)
    name = EndpointName("e0")
    for number in range(6):
        admission.offer(make_request(number, customer=CUSTOMERS[number % 3]), 0.0)
        admission.record_dispatch(RequestId(f"r{number}"), name, 0.0, 0.0)
    for number in range(6):
        admission.record_first_token(RequestId(f"r{number}"), 2000.0, 2000.0 * number)
    assert admission.offer(make_request(9, customer=SMALL), 12_000.0) == []


def test_flooding_customer_goes_last_at_the_endpoint() -> None:
    """Guards against a flood that delays a small customer in the engine's queue.

    Requests of both are queued there, the flood's first. Without a priority by share,
    the small customer would wait for all of them.
    """
    admission = make_admission()
    admission.offer(make_request(0, customer=SMALL), 0.0)
    priorities = []
    for number in range(1, 7):
        (admit,) = admission.offer(make_request(number, customer=LARGE), 0.0)
        assert isinstance(admit, Admit)
        priorities.append(admit.priority)
    (small,) = admission.offer(make_request(10, customer=SMALL), 0.0)
    assert isinstance(small, Admit)
    assert small.priority < priorities[-1]


def test_overdue_first_tokens_lower_the_limit() -> None:
    """Guards against sending more requests to an engine that stalls.

    The engine accepts requests and sends no tokens for seconds, so a limit that only
    follows received first tokens would not shrink.
    """
    admission = make_admission(endpoints=1, max_running=4)
    name = EndpointName("e0")
    for number in range(4):
        admission.offer(make_request(number), 0.0)
        admission.record_dispatch(RequestId(f"r{number}"), name, 0.0, 0.0)
    for number in range(4, 8):
        admission.offer(make_request(number), 0.0)
    admission.tick(2000.0)
    assert find_admitted(admission.release(RequestId("r0"), 2001.0)) == []


@given(
    st.lists(
        st.tuples(st.sampled_from([0, 0, 0, 1, 2, 3, 4]), st.integers(1, 30)),
        min_size=20,
        max_size=120,
    )
)
def test_limits_and_budget_hold_under_any_order(steps: list[tuple[int, int]]) -> None:
    admission = make_admission(AdmissionLimits(max_queued=6), 2, 3)
    names = [EndpointName("e0"), EndpointName("e1")]
    first_tries = retries = offered = 0
    for at, (kind, number) in enumerate(steps):
        now_ms = at * 10.0
        name = RequestId(f"r{number}")
        actions: list[AdmissionAction] = []
        if kind == 0:
            offered += 1
            customer = CUSTOMERS[offered % 3]
            request = make_request(offered, customer=customer)
            actions = admission.offer(request, now_ms)
        elif kind == 1:
            actions = admission.release(name, now_ms)
        elif kind == 2:
            actions = admission.abandon(name, now_ms)
        elif kind == 3:
            admission.record_first_token(name, 900.0, now_ms)
        else:
            retries += admission.may_retry(1)
        for admitted in find_admitted(actions):
            open_names = admission.find_open(make_request(0), names)
            assert open_names
            admission.record_dispatch(admitted, open_names[0], 0.0, now_ms)
            first_tries += 1
        assert admission.count_queued() <= 6
        assert admission.count_running() <= 6
        assert retries <= 1 + 0.1 * first_tries


@given(
    st.lists(st.sampled_from(CUSTOMERS[:2]), min_size=40, max_size=80),
    st.integers(2, 20),
)
def test_waiting_customers_are_served_alike(
    arrivals: list[CustomerName], served: int
) -> None:
    """Two customers always have queued requests; one sends many more than the other.

    The number of served requests may differ by no more than one request of each.
    """
    admission = make_admission(endpoints=1, max_running=1)
    numbers = dict.fromkeys(CUSTOMERS, 0)
    admission.offer(make_request(0, customer=CUSTOMERS[2]), 0.0)
    for number, customer in enumerate(arrivals, 1):
        admission.offer(make_request(number, customer=customer), 0.0)
    for number in range(served):
        admission.offer(make_request(200 + number, customer=SMALL), 0.0)
        admission.offer(make_request(300 + number, customer=LARGE), 0.0)
    running = RequestId("r0")
    for at in range(served):
        (admitted,) = [
            each
            for each in admission.release(running, 10.0 + at)
            if isinstance(each, Admit)
        ]
        numbers[admitted.request.customer] += 1
        running = admitted.request.request_id
    assert abs(numbers[LARGE] - numbers[SMALL]) <= 2
