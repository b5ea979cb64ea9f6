"""Gather a node's statistics without holding up its other tasks."""

from __future__ import annotations

import trio

from toucanyard.statistics import GroupStatistics, Statistics, StatisticsCollector


async def gather_statistics(collector: StatisticsCollector) -> Statistics:
    """Return quantiles and counts of all groups; others run after each group."""
    groups: list[GroupStatistics] = []
    for group in collector.iterate_groups():
        groups.append(group)
        await trio.lowlevel.checkpoint()
    return Statistics(tuple(groups), collector.list_refusals())
