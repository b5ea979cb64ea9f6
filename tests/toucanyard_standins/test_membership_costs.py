from __future__ import annotations

from toucanyard_standins.membership_costs import measure_bytes


def test_second_after_many_deaths_stays_within_a_nodes_bytes() -> None:
    """Fourteen endpoints die at once and every node hears of it on several links.

    News that leaves at once on each link crosses news that comes on it: the worst
    second took 3.8 KB of the 3 KB for control, and the last node knew after 12 s.
    """
    sent = measure_bytes(80, 14, 12)
    assert sent.worst_bytes <= 3_000
    assert sent.all_ms is not None
    assert sent.all_ms <= 4_000
