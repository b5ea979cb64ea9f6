from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.names import EndpointName
from toucanyard.options import StreamLimits
from toucanyard.silence_bounds import SilenceBounds

NAME = EndpointName("engine")
LIMITS = StreamLimits(min_silence_ms=600, max_silence_ms=3_000)


def test_slow_endpoint_is_given_more_time_and_a_quick_one_less_again() -> None:
    bounds = SilenceBounds(LIMITS)
    assert bounds.compute_bound(NAME) == 600
    bounds.record_pause(NAME, 700.0)
    assert bounds.compute_bound(NAME) == 2_100
    for _ in range(40):
        bounds.record_pause(NAME, 100.0)
    assert bounds.compute_bound(NAME) == 600
    assert bounds.compute_bound(EndpointName("other")) == 600


@given(st.lists(st.floats(0, 1e7)))
def test_bound_stays_between_its_limits(pauses_ms: list[float]) -> None:
    bounds = SilenceBounds(LIMITS)
    for pause_ms in pauses_ms:
        bounds.record_pause(NAME, pause_ms)
    assert 600 <= bounds.compute_bound(NAME) <= 3_000
