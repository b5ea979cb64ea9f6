from __future__ import annotations

import math

from hypothesis import given, strategies as st

from toucanyard.candidates import SHORT_SHARE
from toucanyard.link_messages import LoadReport, SpeedReport, WorkReport
from toucanyard.names import EndpointName, ServiceName
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_policy import UnevenLoadPolicy
from toucanyard.relay_requests import Prompt
from toucanyard.replica_statements import StatedLoad
from toucanyard.replicas import ReplicaDirectory
from toucanyard.uneven_load.length_shares import STEP
from toucanyard.uneven_load.placement_inputs import EVEN, UnevenLoad

from ..relay_examples import ENGINES, MODEL, build_replica

A, B = EndpointName("a"), EndpointName("b")
SLOTS = 12


def build(policy: UnevenLoadPolicy | None = None) -> UnevenLoad:
    directory = ReplicaDirectory()
    for name in (A, B):
        directory.apply(build_replica(name, slots=SLOTS), 0.0)
    return UnevenLoad(directory, policy or UnevenLoadPolicy())


def build_prompt(tokens: int) -> Prompt:
    return Prompt(MODEL, (PromptBlock("own", tokens),), 10)


def state(load: UnevenLoad, name: EndpointName, contention: float | None) -> bool:
    return load.record_stated(ENGINES, name, StatedLoad(1, 0, SLOTS, contention), 0.0)


def end_long_prompts(load: UnevenLoad, count: int, now_ms: float) -> None:
    for _ in range(count):
        load.record_ended(ENGINES, build_prompt(9_000), 140.0, 500.0, now_ms)


def test_replicas_are_alike_until_one_states_its_contention() -> None:
    """Other deployments, whose replicas state no contention, are served as before."""
    load = build()
    assert not state(load, A, None)
    end_long_prompts(load, 100, 0.0)
    assert load.find_inputs(ENGINES, 0.0) is EVEN
    assert load.take_peer_report(0.0) is None
    assert state(load, A, 1.0)
    assert not state(load, B, 1.0)


def test_another_service_is_not_affected() -> None:
    """Plain replicas state no contention beside engines that do."""
    load = build()
    state(load, A, 2.0)
    assert load.find_inputs(ServiceName("desk"), 0.0) is EVEN


def test_each_input_can_be_left_out() -> None:
    load = build(UnevenLoadPolicy(speeds=False, shares=False))
    state(load, A, 0.5)
    state(load, B, 2.0)
    end_long_prompts(load, 100, 0.0)
    assert load.find_inputs(ENGINES, 0.0) == EVEN


def test_reports_teach_a_node_that_has_asked_no_replica() -> None:
    """A node that has just started has heard no answer."""
    sender, receiver = build(), build()
    for _ in range(10):
        state(sender, A, 0.5)
        state(sender, B, 2.0)
    end_long_prompts(sender, 100, 0.0)
    report = sender.take_peer_report(0.0)
    assert report is not None
    receiver.apply_report(report, 0.0, is_from_group=False)
    inputs = receiver.find_inputs(ENGINES, 0.0)
    assert inputs.find_factor(A) > 3 * inputs.find_factor(B)
    assert inputs.short_share < SHORT_SHARE


def test_a_node_that_only_hears_peers_agrees_on_the_share() -> None:
    """Streams of short prompts fill slots; a wrong number of slots changes shares."""
    sender, receiver = build(), build()
    state(sender, A, 1.0)
    for _ in range(100):
        sender.record_ended(ENGINES, build_prompt(900), 17.0, 400.0, 0.0)
    end_long_prompts(sender, 100, 0.0)
    report = sender.take_peer_report(0.0)
    assert report is not None
    receiver.apply_report(report, 0.0, is_from_group=False)
    shares = [each.find_inputs(ENGINES, 0.0).short_share for each in (sender, receiver)]
    assert abs(shares[0] - shares[1]) <= STEP + 1e-9


def test_first_statement_is_noted_though_a_peer_was_first() -> None:
    """Guards against a node whose log never says that speeds count."""
    load = build()
    load.apply_report(
        LoadReport((SpeedReport(A, 0.5, 1),), ()), 0.0, is_from_group=False
    )
    assert load.is_active(ENGINES)
    assert state(load, A, 1.0)
    assert not state(load, A, 1.0)


def test_reports_are_passed_on_once_in_each_direction() -> None:
    """A sample that goes round between hubs would count again each time."""
    report = LoadReport((SpeedReport(A, 0.5, 1),), ())
    hub = build()
    hub.apply_report(report, 0.0, is_from_group=True)
    assert hub.take_peer_report(0.0) == report
    assert hub.take_group_report(0.0) == report
    other = build()
    other.apply_report(report, 0.0, is_from_group=False)
    assert other.take_peer_report(0.0) is None
    assert other.take_group_report(0.0) == report


def test_reports_about_unknown_replicas_have_no_effect() -> None:
    """A peer tells of an incarnation that ended, or of a service without calls."""
    load = build()
    work = (WorkReport(ENGINES, True, 1, 1.0, 1.0),)
    report = LoadReport((SpeedReport(EndpointName("gone"), 0.5, 1),), work)
    load.apply_report(report, 0.0, is_from_group=True)
    assert not load.is_active(ENGINES)
    assert load.take_group_report(0.0) is None


def test_lost_or_repeated_reports_keep_the_order_of_speeds() -> None:
    """A third of the messages is lost, and a third arrives twice."""
    sender, receiver = build(), build()
    for number in range(30):
        state(sender, A, 0.55)
        state(sender, B, 1.2)
        report = sender.take_peer_report(number * 1_000.0)
        assert report is not None
        for _ in range(number % 3):
            receiver.apply_report(report, number * 1_000.0, is_from_group=False)
    inputs = receiver.find_inputs(ENGINES, 30_000.0)
    ratio = inputs.find_factor(A) / inputs.find_factor(B)
    assert math.isclose(ratio, 1.2 / 0.55, rel_tol=0.1)


def test_what_is_kept_for_a_group_is_dropped_without_one() -> None:
    """A node that no other reports to would send old samples once it is a hub."""
    load = build()
    state(load, A, 2.0)
    load.drop_group_report()
    assert load.take_group_report(0.0) is None
    assert load.take_peer_report(0.0) is not None


@given(
    st.lists(
        st.tuples(
            st.sampled_from([A, B]),
            st.floats(min_value=-1e6, max_value=1e6),
            st.integers(min_value=1, max_value=1_000),
        ),
        max_size=30,
    )
)
def test_any_reports_leave_factors_bounded(
    reports: list[tuple[EndpointName, float, int]],
) -> None:
    """A peer of another build sends sums that no replica could have stated."""
    load = build()
    state(load, A, 1.0)
    speeds = tuple(SpeedReport(*each) for each in reports)
    load.apply_report(LoadReport(speeds, ()), 0.0, is_from_group=False)
    for factor in load.find_inputs(ENGINES, 1_000.0).factors.values():
        assert 0.25 <= factor <= 4.0
