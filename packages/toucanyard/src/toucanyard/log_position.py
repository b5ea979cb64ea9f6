"""Order positions in the platform's log, also across its restores from a copy.

A store that is restored assigns offsets again, so an offset alone orders nothing. Each
restore begins a new era, and a position of a later era is after all of earlier ones.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

Era = Annotated[int, msgspec.Meta(ge=0, le=999_999_999)]
"""Number of restores of the store; fits an integer of 64 bits beside an offset."""


class LogPosition(msgspec.Struct, frozen=True, order=True):
    """The place of a record in one topic, or the end of the topic."""

    era: Era
    """Era of the store in which the record was read."""
    offset: int


START: Final = LogPosition(0, 0)
"""The end of a topic of which nothing has been read."""
