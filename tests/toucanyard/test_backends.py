from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.backends import Backend
from toucanyard.names import EndpointName

NAMES = [EndpointName(f"engine-{number}") for number in range(4)]

waits = st.tuples(st.just("wait"), st.sampled_from(NAMES), st.floats(0, 5_000))
failures = st.tuples(st.just("fail"), st.sampled_from(NAMES), st.just(0.0))
usable = st.tuples(st.just("use"), st.lists(st.sampled_from(NAMES), unique=True))


@given(st.lists(waits | failures | usable, max_size=40))
def test_kept_capacity_is_the_sum_of_usable_limits(
    steps: list[tuple[object, ...]],
) -> None:
    # A sum that drifts from its parts would admit too many requests, or none.
    backend = Backend(16, 100.0)
    backend.set_max_running(16, 2)
    backend.set_usable(NAMES)
    names = NAMES
    for number, step in enumerate(steps):
        now_ms = number * 150.0
        match step:
            case ("wait", str(name), float(wait_ms)):
                backend.record_wait(EndpointName(name), wait_ms, now_ms)
            case ("fail", str(name), _):
                backend.record_failure(EndpointName(name), now_ms)
            case ("use", list(chosen)):
                names = chosen
                backend.set_usable(names)
        limits = [backend.find_limit(name).limit for name in names]
        assert backend.capacity == sum(limits)
        assert backend.has_usable() == bool(names)
