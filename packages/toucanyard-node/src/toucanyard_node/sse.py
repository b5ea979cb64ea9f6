"""Parse, number and render server-sent events as bytes, at a low cost per event."""

from __future__ import annotations

import re
from typing import Annotated, Final

import msgspec

from toucanyard.byte_limits import ByteLimits
from toucanyard_node.event_splitter import BlockBuffer

_BOUNDARY: Final = b"\n\n"
_ID: Final = b"id: "
_DATA: Final = b"data: "
_DONE: Final = b"data: [DONE]"
MAX_EVENT_BYTES: Final = ByteLimits().max_event_bytes
_MAX_DIGITS: Final = 15
_MAX_COUNT: Final = 10**9
_NO_ERROR: Final = msgspec.Raw(b"null")

# Numbers sent by an engine are put into histograms and into messages to other nodes,
# where a number with a thousand digits would raise an exception.
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_TimeS = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class EventError(Exception):
    """The events of a stream violate the protocol."""


class Delta(msgspec.Struct, frozen=True):
    """The text added by one chunk of a chat completion."""

    role: str | None = None
    content: str | None = None


class Choice(msgspec.Struct, frozen=True):
    """One choice of a chunk."""

    text: str | None = None
    delta: Delta | None = None
    finish_reason: str | None = None


class TokenDetails(msgspec.Struct, frozen=True):
    """Details of the prompt's tokens."""

    cached_tokens: _Count = 0


class Usage(msgspec.Struct, frozen=True):
    """Token counts in the last chunk."""

    prompt_tokens: _Count = 0
    completion_tokens: _Count = 0
    total_tokens: _Count = 0
    prompt_tokens_details: TokenDetails | None = None


class Chunk(msgspec.Struct, frozen=True):
    """The fields of an event's data that the node uses."""

    id: str = ""
    created: _TimeS = 0
    model: str = ""
    choices: tuple[Choice, ...] = ()
    usage: Usage | None = None
    error: msgspec.Raw = _NO_ERROR


class Event(msgspec.Struct, frozen=True):
    """One event: its number, or None without one, and its data."""

    number: int | None
    data: bytes

    def is_done(self) -> bool:
        """Return whether this is the final event of a complete stream."""
        return self.data == b"[DONE]"


_CHUNK: Final = msgspec.json.Decoder(Chunk)


def read_chunk(data: bytes) -> Chunk:
    """Decode one event's data, or raise EventError."""
    try:
        return _CHUNK.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise EventError(str(error)) from error


def check_error(chunk: Chunk) -> None:
    """Raise EventError if the engine reports a failure instead of a token.

    Engines do this in the middle of a stream, after the status has been sent.
    """
    if chunk.error != _NO_ERROR:
        raise EventError("the engine reports an error")


def get_text(chunk: Chunk) -> str:
    """Return the text of a chunk."""
    if not chunk.choices:
        return ""
    choice = chunk.choices[0]
    if choice.text is not None:
        return choice.text
    return (choice.delta.content or "") if choice.delta is not None else ""


class EventParser:
    """Splits received bytes into events and buffers an incomplete event."""

    __slots__ = ("_buffer", "_unfinished_bytes")

    def __init__(self) -> None:
        self._buffer = BlockBuffer(re.compile(_BOUNDARY))
        self._unfinished_bytes = 0
        """Bytes since the last event, comments among them."""

    def feed(self, part: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete."""
        complete = self._buffer.push(part)
        parsed = [_parse_event(text) for text in complete.split(_BOUNDARY)[:-1]]
        events = [event for event in parsed if event is not None]
        self._unfinished_bytes += len(part)
        if events:
            self._unfinished_bytes = len(self._buffer.partial)
        if self._unfinished_bytes > MAX_EVENT_BYTES:
            raise EventError("an event is too large")
        return events


def _parse_event(text: bytes) -> Event | None:
    """Parse the text between two blank lines; None if it is not an event."""
    if text.startswith(_ID):
        head, _, rest = text.partition(b"\n")
        number = head[4:]
        is_number = number.isdigit() and len(number) <= _MAX_DIGITS
        if is_number and rest.startswith(_DATA) and not _has_line_break(rest):
            return Event(int(number), rest[6:])
    elif text == _DONE:
        return Event(None, b"[DONE]")
    return _parse_lines(text)


def _has_line_break(line: bytes) -> bool:
    return b"\n" in line or b"\r" in line


def _parse_lines(text: bytes) -> Event | None:
    """Parse an event whose lines are in another order, or raise EventError.

    By the protocol, lines without data, such as comments, are not an event. A comment
    that is not followed by a blank line may precede an event, though.
    """
    number: int | None = None
    data: list[bytes] = []
    for line in text.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit():
            if len(value) > _MAX_DIGITS:
                raise EventError("an event's number is too large")
            number = int(value)
        elif name == b"data":
            data.append(value)
    return Event(number, b"\n".join(data)) if data else None


def render_event(number: int, data: bytes, name: bytes = b"") -> bytes:
    """Render one event; each line of its data becomes a separate field."""
    if b"\n" in data:
        data = data.replace(b"\n", b"\ndata: ")
    if name:
        return b"event: %s\nid: %d\ndata: %s\n\n" % (name, number, data)
    return b"id: %d\ndata: %s\n\n" % (number, data)
