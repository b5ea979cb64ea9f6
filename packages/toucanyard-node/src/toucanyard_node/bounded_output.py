"""Write log lines to standard output without blocking on a slow reader.

Lines are collected in a bounded buffer that a single task writes out. When the reader
is slow and the buffer is full, further lines are dropped and counted. The count is
written as a separate line, which makes the gap visible.
"""

from __future__ import annotations

import os
from collections import deque
from typing import Final

import trio

MAX_LINES: Final = 5_000
"""Maximum number of buffered lines: a few seconds of output of the busiest node."""
FLUSH_INTERVAL_S: Final = 0.05
"""Interval between writes; writing many lines at once saves most of the cost."""
_WRITE_BYTES: Final = 65_536


class BoundedOutput:
    """Buffer of lines to be written to one file descriptor.

    Invariant: at most MAX_LINES lines are buffered.
    """

    __slots__ = ("_descriptor", "_lines", "_unsent", "_wakeup", "dropped", "written")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._unsent = b""
        self._wakeup: trio.Event | None = None
        """Set by the next call of `write` while the buffer is empty."""
        self.dropped = 0
        self.written = 0

    def write(self, text: str) -> None:
        """Append one line, given without its line break."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(text)
        if self._wakeup is not None:
            self._wakeup.set()
            self._wakeup = None

    msg = debug = info = warning = error = critical = exception = write

    async def run(self) -> None:
        """Write lines out until cancelled."""
        os.set_blocking(self._descriptor, False)
        reported = 0
        while True:
            if not self._lines and not self._unsent:
                # Nodes of a large fleet are mostly idle. Polling the buffer would wake
                # them more often than anything else.
                self._wakeup = trio.Event()
                await self._wakeup.wait()
            if self.dropped > reported:
                self._lines.append(
                    f"event=lines_dropped count={self.dropped - reported}"
                )
                reported = self.dropped
            self.flush()
            await trio.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self._unsent or self._lines:
            if not self._unsent:
                self._unsent = self._take_lines()
            try:
                sent_bytes = os.write(self._descriptor, self._unsent[:_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: drop the lines as for a full buffer.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._unsent = b""
                return
            self._unsent = self._unsent[sent_bytes:]

    def _take_lines(self) -> bytes:
        lines: list[str] = []
        size = 0
        while self._lines and size < _WRITE_BYTES:
            line = self._lines.popleft()
            size += len(line) + 1
            lines.append(line)
        self.written += len(lines)
        return ("\n".join(lines) + "\n").encode("utf-8", "replace")
