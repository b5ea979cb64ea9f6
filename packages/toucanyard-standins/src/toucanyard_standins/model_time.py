"""Scale simulated time, so that tests run faster than real time."""

from __future__ import annotations

import trio


class ModelTime:
    """Map simulated milliseconds to real ones; a scale of 0.1 is ten times faster."""

    __slots__ = ("scale",)

    def __init__(self, scale: float) -> None:
        if scale <= 0:
            raise ValueError(f"found time scale {scale}, expected more than 0")
        self.scale = scale

    def now_ms(self) -> float:
        """Return the current simulated time."""
        return trio.current_time() * 1000 / self.scale

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for a simulated duration."""
        await trio.sleep(duration_ms * self.scale / 1000)
