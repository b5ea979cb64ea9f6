from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.endpoint_views import EndpointViews
from toucanyard.names import EndpointName


@given(st.integers(1, 100), st.integers(1, 60))
def test_bound_on_blocks_holds_for_any_number_of_endpoints(
    endpoints: int, blocks: int
) -> None:
    """Endpoints come one by one and each offers more blocks than its share.

    With a fixed share each, the node's memory would grow with the fleet.
    """
    views = EndpointViews(640)
    for number in range(endpoints):
        view = views.get(EndpointName(f"e{number}"))
        view.cache.touch(range(number * 100, number * 100 + blocks), float(number))
        assert views.count_blocks() <= 640
