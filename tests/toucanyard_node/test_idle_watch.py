"""Tests for the task that closes idle connections."""

from __future__ import annotations

import trio
import trio.testing

from toucanyard.names import Address
from toucanyard_node.http_client import HttpConnection
from toucanyard_node.idle_watch import IdleTimer, IdleWatch

WATCH = IdleWatch()


class SlowlyClosed(HttpConnection):
    """A connection during whose close another stream receives data or ends."""

    def __init__(self) -> None:
        ours, _ = trio.testing.memory_stream_pair()
        super().__init__(Address("10.0.0.1:1"), ours, 0.0)
        self.closed = 0
        self.other_timer: IdleTimer | None = None
        self.is_other_reading_on = False

    async def close(self) -> None:
        self.closed += 1
        await trio.lowlevel.checkpoint()
        assert self.other_timer is not None
        if self.is_other_reading_on:
            self.other_timer.waiting_since_s = trio.current_time()
        else:
            WATCH.discard(self.other_timer)


async def close_two(is_reading_on: bool) -> int:
    """Let two readers time out at once; return how many connections are closed."""
    first, second = SlowlyClosed(), SlowlyClosed()
    timers = [IdleTimer(each, 100.0) for each in (first, second)]
    first.other_timer, second.other_timer = timers[1], timers[0]
    for each, timer in zip((first, second), timers, strict=True):
        each.is_other_reading_on = is_reading_on
        timer.waiting_since_s = trio.current_time()
        WATCH.add(timer)
    with trio.move_on_after(0.19):
        await WATCH.run()
    for timer in timers:
        WATCH.discard(timer)
    return first.closed + second.closed


async def test_connection_that_was_lent_meanwhile_is_not_closed(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """A node resumes after a pause, and all its streams have timed out.

    While the first connection is being closed, the second stream receives its last
    bytes and its connection returns to the pool. When it was closed there, the next
    request on it failed with an internal error.
    """
    assert await close_two(is_reading_on=False) == 1


async def test_reader_that_got_its_bytes_meanwhile_goes_on(
    autojump_clock: trio.testing.MockClock,
) -> None:
    """As above, but the second stream continues and is no longer idle."""
    assert await close_two(is_reading_on=True) == 1
