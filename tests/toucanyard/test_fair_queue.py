from __future__ import annotations

from hypothesis import given, strategies as st

from placement_examples import CUSTOMERS, make_request
from toucanyard.configuration import PriorityClass
from toucanyard.fair_queue import FairQueue, compute_cost

LARGE, SMALL, OTHER = CUSTOMERS


def test_urgent_class_and_early_deadline_go_first_within_a_customer() -> None:
    queue = FairQueue()
    queue.push(make_request(1, priority=PriorityClass.DRAFT, deadline_ms=1.0), 1.0)
    queue.push(make_request(2, deadline_ms=9.0), 1.0)
    queue.push(make_request(3, deadline_ms=5.0), 1.0)
    popped = [queue.pop() for _ in range(3)]
    assert [each.request_id for each in popped if each] == ["r3", "r2", "r1"]
    assert queue.pop() is None


def test_idle_customer_saves_nothing_up() -> None:
    """Guards against idle time that counts as credit.

    A customer is idle while another one runs a hundred requests, then sends ten. With
    credit for its idle time, the other customer would wait behind all ten.
    """
    queue = FairQueue()
    for number in range(100):
        queue.push(make_request(number), 1.0)
        queue.pop()
    for number in range(200, 210):
        queue.push(make_request(number), 1.0)
        queue.push(make_request(number + 100, customer=SMALL), 1.0)
    first = [queue.pop() for _ in range(6)]
    assert sum(each is not None and each.customer == SMALL for each in first) in (3, 4)


def test_removed_request_is_never_popped() -> None:
    queue = FairQueue()
    request = make_request(1)
    queue.push(request, 1.0)
    assert queue.remove(request)
    assert not queue.remove(request)
    assert queue.pop() is None
    assert len(queue) == 0


def test_surplus_is_the_longest_queue_for_its_weight() -> None:
    queue = FairQueue()
    for number in range(6):
        queue.push(make_request(number), 4.0)
    for number in range(10, 13):
        queue.push(make_request(number, customer=SMALL), 1.0)
    surplus = queue.find_surplus()
    assert surplus is not None
    assert surplus.request_id == "r12"


@given(
    st.lists(st.integers(0, 2), min_size=1, max_size=60),
    st.tuples(*[st.sampled_from([0.5, 1.0, 3.0])] * 3),
)
def test_service_differs_by_less_than_one_request_of_each(
    owners: list[int], weights: tuple[float, ...]
) -> None:
    queue = FairQueue()
    for number, owner in enumerate(owners):
        chain = tuple(range(number % 5 * 20))
        request = make_request(number, chain, CUSTOMERS[owner])
        queue.push(request, weights[owner])
    most = compute_cost(make_request(0, tuple(range(80))))
    served = dict.fromkeys(CUSTOMERS, 0.0)
    while len(queue):
        waiting = queue.find_customers()
        popped = queue.pop()
        assert popped is not None
        index = CUSTOMERS.index(popped.customer)
        served[popped.customer] += compute_cost(popped) / weights[index]
        for one in waiting:
            for other in waiting:
                bound = most / weights[CUSTOMERS.index(one)]
                bound += most / weights[CUSTOMERS.index(other)]
                assert served[one] - served[other] <= bound
