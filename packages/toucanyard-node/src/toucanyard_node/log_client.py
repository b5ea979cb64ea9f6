"""Client of the platform's log service.

An append has three results: done, proved to have no effect, or unknown, because its
response can be lost after it took effect. The third is resolved by reading the log.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.names import Address
from toucanyard.platform_log import (
    AppendResult,
    LogRecord,
)
from toucanyard_node.http_client import (
    BodyTooLargeError,
    ConnectionFailedError,
    Response,
    fetch,
)

_REFUSED_STATUSES: Final = frozenset({400, 404, 413, 429, 503})
"""Statuses with which the service reports that it appended nothing."""
_RATE_LIMITED_STATUS: Final = 429
READ_MARGIN_MS: Final = 1_000.0
MAX_PAGE_BYTES: Final = 16_000_000
_MAX_REPLY_BYTES: Final = 65_536
_MAX_OFFSET: Final = 2**53


class LogUnavailableError(Exception):
    """The log did not return a usable response."""


class LogTimeoutError(LogUnavailableError):
    """The log received the request and did not respond in time."""


class PageTooLargeError(LogUnavailableError):
    """The requested records exceed the size limit of one response."""


class LogExpiredError(Exception):
    """The requested records have expired; `oldest` is the first remaining one."""

    def __init__(self, oldest: int, head: int) -> None:
        super().__init__(f"records before {oldest} have expired")
        self.oldest = oldest
        self.head = head


class AppendAnswer(msgspec.Struct, frozen=True):
    """Result of an append, and whether it was refused only by the rate limit."""

    result: AppendResult
    is_rate_limited: bool = False


class LogPage(msgspec.Struct, frozen=True):
    """Records in order, and the offset of the next record to be written."""

    records: tuple[LogRecord, ...]
    head: int


class _AppendBody(msgspec.Struct, frozen=True):
    records: tuple[str, ...]


class _RecordBody(msgspec.Struct, frozen=True):
    offset: int
    at_ms: float
    data: str


class _ReadBody(msgspec.Struct, frozen=True):
    oldest: int
    next: int
    records: tuple[_RecordBody, ...] = ()


async def append_records(
    address: Address, texts: Sequence[str], timeout_ms: float
) -> AppendAnswer:
    """Append records in one request and return the result."""
    body = msgspec.json.encode(_AppendBody(tuple(texts)))
    try:
        answer = await fetch(
            address, "POST", "/log/append", (), body, timeout_ms, _MAX_REPLY_BYTES
        )
    except ConnectionFailedError as error:
        is_sent = error.is_sent
        return AppendAnswer(AppendResult.UNKNOWN if is_sent else AppendResult.REFUSED)
    if answer.status == 200:
        return AppendAnswer(AppendResult.DONE)
    if answer.status in _REFUSED_STATUSES:
        is_rate_limited = answer.status == _RATE_LIMITED_STATUS
        return AppendAnswer(AppendResult.REFUSED, is_rate_limited)
    return AppendAnswer(AppendResult.UNKNOWN)


async def read_records(
    address: Address,
    start: int,
    limit: int,
    wait_ms: int,
    margin_ms: float = READ_MARGIN_MS,
) -> LogPage:
    """Read records from an offset, waiting up to `wait_ms` for new ones.

    The response may take `margin_ms` longer. Raise LogExpiredError when records have
    expired, PageTooLargeError when they exceed the size limit, and LogUnavailableError
    without a usable response.
    """
    target = f"/log/read?from={start}&limit={limit}&wait_ms={wait_ms}"
    timeout_ms = wait_ms + margin_ms
    try:
        answer = await fetch(
            address, "GET", target, timeout_ms=timeout_ms, max_bytes=MAX_PAGE_BYTES
        )
    except BodyTooLargeError as error:
        raise PageTooLargeError(str(error)) from error
    except ConnectionFailedError as error:
        kind = LogTimeoutError if error.is_sent else LogUnavailableError
        raise kind(str(error)) from error
    return decode_page(answer, start)


def decode_page(answer: Response, start: int) -> LogPage:
    """Decode a page; raise the same errors as `read_records`."""
    if answer.status not in (200, 410):
        raise LogUnavailableError(f"status {answer.status}")
    try:
        body = msgspec.json.decode(answer.body, type=_ReadBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise LogUnavailableError(str(error)) from error
    if answer.status == 410:
        _check_offsets((start, body.oldest, body.next + 1))
        raise LogExpiredError(body.oldest, body.next)
    offsets = [each.offset for each in body.records]
    _check_offsets((start - 1, *offsets, body.next))
    records = tuple(
        LogRecord(each.offset, each.at_ms, each.data) for each in body.records
    )
    return LogPage(records, body.next)


def _check_offsets(offsets: Sequence[int]) -> None:
    """Raise LogUnavailableError unless offsets increase and are in range.

    Reading continues after the last one. With decreasing offsets a node would read the
    same records forever, and a log whose end moved back has lost claims.
    """
    is_rising = all(one < other for one, other in itertools.pairwise(offsets))
    if not is_rising or offsets[-1] > _MAX_OFFSET:
        raise LogUnavailableError("found offsets out of order or out of range")
