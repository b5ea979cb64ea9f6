from __future__ import annotations

from toucanyard_standins.membership_costs import measure_bytes


def test_second_after_many_deaths_stays_within_a_nodes_bytes() -> None:
    """Fourteen endpoints fail at once and each node gets the updates on several links.

    If updates are sent immediately on each link, nodes send each other the same ones:
    the worst second took 3.8 KB, with a limit of 3 KB for control traffic, and the last
    node was informed after 12 s.
    """
    sent = measure_bytes(80, 14, 12)
    assert sent.worst_bytes <= 3_000
    assert sent.all_ms is not None
    assert sent.all_ms <= 4_000
