"""Format values and tables with aligned columns as text."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

_GAP: Final = "  "

Cell = str | int | float | bool | None


def render_cell(value: Cell) -> str:
    """Return a value as text; floats are rounded to one decimal place."""
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.1f}"
        case _:
            return str(value)


def render_table(head: Sequence[str], rows: Iterable[Sequence[Cell]]) -> str:
    """Return a text table; columns that hold only numbers are right-aligned."""
    row_values = [list(row) for row in rows]
    texts = [list(head), *([render_cell(cell) for cell in row] for row in row_values)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    numeric = [
        bool(row_values) and all(_is_number(row[index]) for row in row_values)
        for index in range(len(head))
    ]
    lines = []
    for row in texts:
        cells = [
            text.rjust(width) if is_right else text.ljust(width)
            for text, width, is_right in zip(row, widths, numeric, strict=True)
        ]
        lines.append(_GAP.join(cells).rstrip())
    return "\n".join(lines)


def _is_number(value: Cell) -> bool:
    return value is None or (
        isinstance(value, int | float) and not isinstance(value, bool)
    )
