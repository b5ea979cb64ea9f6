from __future__ import annotations

from toucanyard_standins.version_watch import Regression, VersionWatch


def test_lower_version_of_a_restarted_node_is_noted() -> None:
    watch = VersionWatch("key")
    for node, version in (("n1", 2), ("n2", 1), ("n1", 2), ("n1", 1), ("n1", 3)):
        watch.record_version(node, version)
    assert watch.regressions == [Regression("n1", 2, 1)]
    assert (watch.find_highest("n1"), watch.find_highest("n2")) == (3, 1)
    assert watch.reads == 5
