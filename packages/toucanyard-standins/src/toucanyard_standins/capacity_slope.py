"""Measure a cost at several sizes and extrapolate it to the target size."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final

import msgspec
import numpy as np

from toucanyard_standins.bench_restart import measure

_REPETITIONS: Final = 9


class Slope(msgspec.Struct, frozen=True):
    """One cost at several sizes, with a linear fit.

    `target_size` is the size that one node has to handle in the target deployment.
    """

    role: str
    cost: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    per: str
    target_size: int

    def compute_line(self) -> tuple[float, float]:
        """Return slope and intercept of the linear fit."""
        slope, base = np.polyfit(self.sizes, self.values, 1)
        return float(slope), float(base)

    def compute_at_target(self) -> float:
        """Return the fitted cost at the target size."""
        slope, base = self.compute_line()
        return base + slope * self.target_size


def measure_slope(
    role: str,
    cost: str,
    unit: str,
    per: str,
    target_size: int,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Slope:
    """Return the slope of the values of `measure` at each size."""
    values = tuple(measure(size) for size in sizes)
    return Slope(role, cost, unit, tuple(sizes), values, per, target_size)


def time_us(action: Callable[[], object]) -> float:
    """Return the median time of an action in microseconds."""
    return measure(action, _REPETITIONS)[0] * 1_000


def measure_held_bytes(build: Callable[[], object]) -> float:
    """Return the memory of the object that `build` returns."""
    tracemalloc.start()
    built = build()
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(held_bytes)


def render_slope(slope: Slope) -> str:
    """Return the printed lines of a slope."""
    each, base = slope.compute_line()
    measured = " ".join(f"{value:.5g}" for value in slope.values)
    sizes = " ".join(map(str, slope.sizes))
    return (
        f"{slope.role}: {slope.cost}\n"
        f"  {slope.unit} {measured}  at {sizes} {slope.per}\n"
        f"  {each:.4g} {slope.unit} each + {base:.4g};"
        f" at {slope.target_size}: {slope.compute_at_target():.4g} {slope.unit}"
    )
