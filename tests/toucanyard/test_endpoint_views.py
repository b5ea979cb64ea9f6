from __future__ import annotations

import tracemalloc

from hypothesis import given, strategies as st

from toucanyard.endpoint_views import MAX_WHOLE_SHARES, EndpointViews
from toucanyard.names import EndpointName


@given(st.integers(1, 100), st.integers(1, 60))
def test_bound_on_blocks_holds_for_any_number_of_endpoints(
    endpoints: int, blocks: int
) -> None:
    """Endpoints are added one by one, and each offers more blocks than its share.

    With a fixed share per endpoint, the node's memory would grow with the fleet.
    """
    views = EndpointViews(640)
    for number in range(endpoints):
        view = views.get(EndpointName(f"e{number}"))
        view.cache.touch(range(number * 100, number * 100 + blocks), float(number))
        assert views.count_blocks() <= 640


def test_many_views_share_half_of_the_bound() -> None:
    views = EndpointViews(6_400)
    for number in range(2 * MAX_WHOLE_SHARES):
        view = views.get(EndpointName(f"e{number}"))
        view.cache.touch(range(number * 100, number * 100 + 100), 0.0)
        if number + 1 == MAX_WHOLE_SHARES:
            assert views.count_blocks() > 3_200
    assert views.count_blocks() <= 3_200


def test_long_chains_leave_no_room_behind_in_small_views() -> None:
    """Thousands of views hold a few blocks each, and long prompts pass through them.

    Inserted completely and then trimmed, each chain would leave its view at its largest
    size: 53 MB over 4,400 views instead of 33 MB.
    """
    sizes = []
    for blocks in (24, 400):
        tracemalloc.start()
        views = EndpointViews(256 * 48)
        for number in range(256):
            view = views.get(EndpointName(f"e{number}"))
            view.cache.touch(range(number * 400, number * 400 + blocks), 0.0)
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    assert sizes[1] < 1.2 * sizes[0]
