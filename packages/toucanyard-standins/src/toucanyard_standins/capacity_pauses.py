"""Measure the pause of a node during a full garbage collection."""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Iterator
from typing import Final

from toucanyard.at_most_once import AtMostOnce
from toucanyard.explanations import ExplanationRing
from toucanyard_standins import key_slopes
from toucanyard_standins.capacity_requests import fill_records
from toucanyard_standins.capacity_slope import Slope, measure_slope

_SIZES: Final = (25, 50, 75, 100)
_CLAIMS: Final = 50_000
_ISSUED: Final = 20_600
_BACKUP_RECORDS: Final = 41_200
_RECORDS: Final = 20_000
_REPETITIONS: Final = 5


def iterate_pause_slopes() -> Iterator[Slope]:
    """Measure the pause with a share of the keys and records at the target size."""
    yield measure_slope(
        "whole process",
        "a full pass over keys and decision records, beyond what was loaded",
        "us",
        "percent of the size wanted",
        100,
        _SIZES,
        _measure_pause_us,
    )


def _measure_pause_us(percent: int) -> float:
    gc.collect()
    gc.freeze()
    keys_and_records = _build_keys_and_records(percent)
    gc.collect()
    times_us: list[float] = []
    for _ in range(_REPETITIONS):
        started_s = time.perf_counter()
        gc.collect()
        times_us.append((time.perf_counter() - started_s) * 1e6)
    del keys_and_records
    gc.unfreeze()
    return statistics.median(times_us)


def _build_keys_and_records(percent: int) -> tuple[AtMostOnce, ExplanationRing]:
    keys = key_slopes.make_core()
    key_slopes.fill_claims(keys, _CLAIMS * percent // 100)
    key_slopes.fill_issued(keys, _ISSUED * percent // 100)
    key_slopes.fill_backup_records(keys, _BACKUP_RECORDS * percent // 100)
    return keys, fill_records(_RECORDS * percent // 100)
