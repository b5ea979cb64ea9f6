from __future__ import annotations

import os

import trio

from toucanyard_node.bounded_output import MAX_LINES, BoundedOutput


def test_slow_reader_never_holds_up_the_node() -> None:
    """The log reader stops reading, so that the pipe and then the buffer fill up.

    A blocking write would stop every stream of the node.
    """
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    output = BoundedOutput(write_end)
    for number in range(4 * MAX_LINES):
        output.write(f"line {number} " + "x" * 100)
        if number % 100 == 0:
            output.flush()
    output.flush()
    assert output.dropped > 0
    assert output.dropped < 4 * MAX_LINES
    os.close(read_end)
    os.close(write_end)


def test_lines_arrive_whole_and_in_order() -> None:
    read_end, write_end = os.pipe()
    output = BoundedOutput(write_end)
    output.write("one")
    output.write("two")
    output.flush()
    os.close(write_end)
    assert os.read(read_end, 100) == b"one\ntwo\n"
    os.close(read_end)
    assert output.written == 2


def test_reader_that_is_gone_costs_lines_only() -> None:
    read_end, write_end = os.pipe()
    os.close(read_end)
    output = BoundedOutput(write_end)
    output.write("one")
    output.flush()
    output.write("two")
    output.flush()
    os.close(write_end)


async def test_gap_is_told(autojump_clock: object) -> None:
    read_end, write_end = os.pipe()
    output = BoundedOutput(write_end)
    for number in range(MAX_LINES + 3):
        output.write(str(number))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(output.run)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    text = os.read(read_end, 1_000_000).decode()
    assert "event=lines_dropped count=3" in text
    os.close(read_end)
    os.close(write_end)


async def test_line_that_ends_a_rest_is_written(autojump_clock: object) -> None:
    """A node logs nothing for an hour, then writes lines, then is idle again."""
    read_end, write_end = os.pipe()
    output = BoundedOutput(write_end)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(output.run)
        for text in ("one", "two"):
            await trio.sleep(3_600)
            output.write(text)
            await trio.sleep(1)
            assert os.read(read_end, 100) == f"{text}\n".encode()
        nursery.cancel_scope.cancel()
    os.close(write_end)
    os.close(read_end)
