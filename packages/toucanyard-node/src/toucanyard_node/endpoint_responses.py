"""Decode responses of endpoints: load, cache events and cache dumps.

Numbers from endpoints are untrusted. The core computes with them, so a number that is
negative, or that a float can't represent exactly, is rejected here.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final, TypeVar

import msgspec

from toucanyard.cache_view import CacheDump, CacheEvent, CacheEventKind, CacheEvents
from toucanyard.load_view import LoadReport
from toucanyard.names import Incarnation
from toucanyard_node.http_client import Response

_MAX_NUMBER: Final = 2**53
_HASH_DIGITS: Final = 16
_HEX: Final = 16

T = TypeVar("T")


class _EventBody(msgspec.Struct, frozen=True):
    seq: int
    kind: CacheEventKind
    hashes: tuple[str, ...]


class _EventsBody(msgspec.Struct, frozen=True):
    incarnation: Incarnation
    oldest: int
    next: int
    events: tuple[_EventBody, ...]


class _DumpBody(msgspec.Struct, frozen=True):
    incarnation: Incarnation
    next: int
    hashes: tuple[str, ...]


class InvalidResponseError(Exception):
    """An endpoint's response is malformed or out of range."""


def decode_load(response: Response) -> LoadReport:
    """Decode a load report, or raise InvalidResponseError."""
    report = _decode(response, LoadReport)
    _check_numbers(
        report.running,
        report.waiting,
        report.queued_blocks,
        report.used_blocks,
        report.capacity_blocks,
        report.age_ms,
    )
    if not report.incarnation:
        raise InvalidResponseError("found no incarnation")
    return report


def decode_events(response: Response) -> CacheEvents:
    """Decode cache events, or raise InvalidResponseError."""
    body = _decode(response, _EventsBody)
    _check_numbers(body.oldest, body.next, *(event.seq for event in body.events))
    events = tuple(
        CacheEvent(event.seq, event.kind, _parse_hashes(event.hashes))
        for event in body.events
    )
    return CacheEvents(body.incarnation, body.oldest, body.next, events)


def decode_dump(response: Response) -> CacheDump:
    """Decode a cache dump, or raise InvalidResponseError."""
    body = _decode(response, _DumpBody)
    _check_numbers(body.next)
    return CacheDump(body.incarnation, body.next, _parse_hashes(body.hashes))


def _decode(response: Response, kind: type[T]) -> T:
    if response.status != 200:
        raise InvalidResponseError(f"found status {response.status}")
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidResponseError(str(error)) from error


def _check_numbers(*numbers: float) -> None:
    if min(numbers) < 0 or max(numbers) >= _MAX_NUMBER:
        raise InvalidResponseError("found a number out of range")


def _parse_hashes(hashes: Sequence[str]) -> tuple[int, ...]:
    try:
        blocks = tuple(int(each, _HEX) for each in hashes)
    except ValueError as error:
        raise InvalidResponseError("found a hash that is not hexadecimal") from error
    if blocks and (min(blocks) < 0 or max(map(len, hashes)) > _HASH_DIGITS):
        raise InvalidResponseError(f"found a hash not of {_HASH_DIGITS} digits")
    return blocks
