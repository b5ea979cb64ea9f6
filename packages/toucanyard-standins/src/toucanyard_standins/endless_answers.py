"""Answers without end: bytes that are no answer, until the other side closes."""

from __future__ import annotations

import enum
import os
import time
from typing import Final

import msgspec
import trio

from toucanyard_node.http_exchange import CallerGoneError, Headers, Responder

FAST_BYTES: Final = 16_384
SLOW_INTERVAL_S: Final = 0.05
_FILLER: Final = b"x" * FAST_BYTES
_JSON_TYPE: Final = ("Content-Type", "application/json")
_EVENTS_TYPE: Final = ("Content-Type", "text/event-stream")
_CHUNKED: Final = ("Transfer-Encoding", "chunked")


class EndlessKind(enum.StrEnum):
    """What an answer repeats without end; slow ones wait between two parts."""

    BODY_FAST = "body-fast"
    BODY_SLOW = "body-slow"
    UNFRAMED = "unframed"
    """A body with neither a length nor chunks."""
    ERROR = "error"
    EVENT_FAST = "event-fast"
    EVENT_SLOW = "event-slow"
    COMMENTS = "comments"
    """Comment lines inside one event."""
    COMMENT_EVENTS = "comment-events"
    """Complete events that consist of a comment."""
    INFORMATIONAL = "informational"
    HEADERS_FAST = "headers-fast"
    HEADERS_SLOW = "headers-slow"
    NO_HTTP = "no-http"
    STATUS_LINE = "status-line"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILERS = "trailers"


class EndlessAnswer(msgspec.Struct, frozen=True):
    """The bytes of an answer: a beginning, and a part that is repeated."""

    begin: bytes
    part: bytes
    interval_s: float = 0.0


def build_endless(kind: EndlessKind, headers: Headers) -> EndlessAnswer:
    """Return the bytes of an answer with these headers."""
    match kind:
        case EndlessKind.EVENT_FAST | EndlessKind.EVENT_SLOW:
            return _build_event(kind, headers)
        case EndlessKind.COMMENTS:
            begin = _render_head(200, *headers, _EVENTS_TYPE, _CHUNKED)
            return EndlessAnswer(begin, _render_chunk(_repeat(b": comment\n")))
        case EndlessKind.COMMENT_EVENTS:
            begin = _render_head(200, *headers, _EVENTS_TYPE, _CHUNKED)
            return EndlessAnswer(begin, _render_chunk(_repeat(b": comment\n\n")))
        case EndlessKind.INFORMATIONAL:
            return EndlessAnswer(b"", _repeat(b"HTTP/1.1 103 Early Hints\r\n\r\n"))
        case EndlessKind.HEADERS_FAST:
            begin = b"HTTP/1.1 200 OK\r\n"
            return EndlessAnswer(begin, _repeat(b"X-Filler: filler\r\n"))
        case EndlessKind.HEADERS_SLOW:
            begin = b"HTTP/1.1 200 OK\r\n"
            return EndlessAnswer(begin, b"X-F: a\r\n", SLOW_INTERVAL_S)
        case EndlessKind.NO_HTTP:
            return EndlessAnswer(b"", _repeat(b"this is no answer\r\n"))
        case EndlessKind.STATUS_LINE:
            return EndlessAnswer(b"HTTP/1.1 200 ", _FILLER)
        case _:
            return _build_body(kind, headers)


def _build_event(kind: EndlessKind, headers: Headers) -> EndlessAnswer:
    head = _render_head(200, *headers, _EVENTS_TYPE, _CHUNKED)
    begin = head + _render_chunk(b"id: 1\ndata: ")
    if kind is EndlessKind.EVENT_SLOW:
        return EndlessAnswer(begin, _render_chunk(b"filler"), SLOW_INTERVAL_S)
    return EndlessAnswer(begin, _render_chunk(_FILLER))


def _build_body(kind: EndlessKind, headers: Headers) -> EndlessAnswer:
    status = 500 if kind is EndlessKind.ERROR else 200
    begin = _render_head(status, *headers, _JSON_TYPE, _CHUNKED)
    match kind:
        case EndlessKind.UNFRAMED:
            begin = _render_head(200, *headers, _JSON_TYPE, ("Connection", "close"))
            return EndlessAnswer(begin, _FILLER)
        case EndlessKind.BODY_SLOW:
            return EndlessAnswer(begin, _render_chunk(_FILLER[:100]), SLOW_INTERVAL_S)
        case EndlessKind.CHUNK_EXTENSION:
            return EndlessAnswer(begin + b"5;extension=", _FILLER)
        case EndlessKind.TRAILERS:
            begin += _render_chunk(b"body") + b"0\r\n"
            return EndlessAnswer(begin, _repeat(b"X-Filler: filler\r\n"))
        case _:
            return EndlessAnswer(begin, _render_chunk(_FILLER))


async def send_endless(
    responder: Responder, kind: EndlessKind, headers: Headers, label: str
) -> None:
    """Send an answer until the other side closes, then raise CallerGoneError.

    Logs how long it flowed; `label` names the answer in the log.
    """
    # The HTTP library completes what it sends, so the bytes go past it.
    stream = responder._stream
    answer = build_endless(kind, headers)
    started_s = time.monotonic()
    sent_bytes = 0
    try:
        await stream.send_all(answer.begin)
        while True:
            await stream.send_all(answer.part)
            sent_bytes += len(answer.part)
            await trio.sleep(answer.interval_s)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        raise CallerGoneError from error
    finally:
        for_s = time.monotonic() - started_s
        line = f"event=endless {label} kind={kind} for_s={for_s:.3f} bytes={sent_bytes}"
        os.write(1, f"{line}\n".encode())


def _render_head(status: int, *headers: tuple[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Endless", *(f"{name}: {v}" for name, v in headers)]
    return "\r\n".join((*lines, "", "")).encode()


def _render_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _repeat(line: bytes) -> bytes:
    return line * (FAST_BYTES // len(line))
