"""Collect a node's statistics without blocking other tasks."""

from __future__ import annotations

import trio

from toucanyard.statistics import GroupStatistics, Statistics, StatisticsCollector


async def collect_statistics(collector: StatisticsCollector) -> Statistics:
    """Return the statistics of all groups; yields to other tasks after each."""
    groups: list[GroupStatistics] = []
    for group in collector.iterate_groups():
        groups.append(group)
        await trio.lowlevel.checkpoint()
    return Statistics(tuple(groups), collector.list_refusals())
