"""Histograms are bounded, and each dispatch is counted exactly once."""

from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.configuration import PriorityClass
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import CustomerName, EndpointName, RequestId
from toucanyard.requests import DispatchEnding, Outcome
from toucanyard.statistics import (
    MAX_DETAILED_CUSTOMERS,
    MAX_REFUSAL_COUNTS,
    OTHER_CUSTOMERS,
    StatisticsCollector,
)

CLASSES = (PriorityClass.CHAT, PriorityClass.DRAFT)
OUTCOME = Outcome(
    RequestId("r"),
    EndpointName("e"),
    DispatchEnding.COMPLETED,
    first_token_ms=200.0,
    duration_ms=2_000.0,
    cached_tokens=64,
    prompt_tokens=100,
    completion_tokens=10,
)


def record(
    collector: StatisticsCollector, number: int, priority: PriorityClass
) -> None:
    customer = CustomerName(f"c{number}")
    collector.record_outcome(customer, priority, OUTCOME, 1.0)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2 * MAX_DETAILED_CUSTOMERS),
            st.sampled_from(CLASSES),
            st.integers(1, 9),
        ),
        max_size=300,
    )
)
def test_groups_sum_up_to_what_was_recorded(
    steps: list[tuple[int, PriorityClass, int]],
) -> None:
    """Customers get and lose their own histograms in any order.

    The sum over all groups stays what was recorded: a customer's counts move to the
    rest when it loses its histograms, and not a second time when it returns.
    """
    collector = StatisticsCollector()
    for number in range(MAX_DETAILED_CUSTOMERS + 4):
        record(collector, number, PriorityClass.CHAT)
    recorded = MAX_DETAILED_CUSTOMERS + 4
    for number, priority, times in steps:
        for _ in range(times):
            record(collector, number, priority)
        recorded += times
    groups = list(collector.iterate_groups())
    assert sum(group.first_token_ms.count for group in groups) == recorded
    assert sum(group.token_gap_ms.count for group in groups) == recorded
    assert sum(group.recomputed_tokens.count for group in groups) == recorded
    assert sum(group.answers for group in groups) == recorded
    assert sum(group.prompt_tokens for group in groups) == 100 * recorded
    for priority in CLASSES:
        detailed = [each for each in groups if each.priority == priority]
        assert len(detailed) <= MAX_DETAILED_CUSTOMERS + 1


def test_customer_that_becomes_busy_gets_figures_of_its_own_and_keeps_its_totals() -> (
    None
):
    collector = StatisticsCollector()
    for number in range(MAX_DETAILED_CUSTOMERS):
        record(collector, number, PriorityClass.CHAT)
    for _ in range(2):
        record(collector, MAX_DETAILED_CUSTOMERS, PriorityClass.CHAT)
    assert len(list(collector.iterate_busiest(1_000))) == MAX_DETAILED_CUSTOMERS
    rest = next(collector.iterate_groups())
    assert rest.is_rest
    assert rest.customer == OTHER_CUSTOMERS
    assert rest.answers == 2
    for _ in range(8):
        record(collector, MAX_DETAILED_CUSTOMERS, PriorityClass.CHAT)
    busiest = next(collector.iterate_busiest(1))
    assert busiest.customer == f"c{MAX_DETAILED_CUSTOMERS}"
    assert busiest.answers == 10
    assert busiest.first_token_ms.count == 8
    rest = next(collector.iterate_groups())
    assert rest.answers == 1
    assert rest.first_token_ms.count == 3


def test_place_lost_while_groups_are_read_counts_once() -> None:
    # The operators' API yields to other tasks between two groups. A customer that loses
    # its histograms meanwhile must be neither missed nor also counted with the rest:
    # the result is what was recorded when it began.
    collector = StatisticsCollector()
    for number in range(MAX_DETAILED_CUSTOMERS + 1):
        record(collector, number, PriorityClass.CHAT)
    groups = collector.iterate_groups()
    found = [next(groups)]
    for _ in range(5):
        record(collector, MAX_DETAILED_CUSTOMERS, PriorityClass.CHAT)
    found += groups
    assert (
        sum(each.first_token_ms.count for each in found) == MAX_DETAILED_CUSTOMERS + 1
    )


def test_refusals_of_many_customers_are_bounded_and_none_is_lost() -> None:
    collector = StatisticsCollector()
    for number in range(MAX_REFUSAL_COUNTS + 10):
        collector.record_refusal(CustomerName(f"c{number}"), ErrorKind.OVERLOADED)
    refusals = collector.list_refusals()
    assert len(refusals) == MAX_REFUSAL_COUNTS + 1
    assert refusals[0].customer == OTHER_CUSTOMERS
    assert refusals[0].count == 10
