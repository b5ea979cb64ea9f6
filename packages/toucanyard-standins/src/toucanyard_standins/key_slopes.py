"""Measure memory and time per stored key at several sizes."""

from __future__ import annotations

import random
import time
import tracemalloc
from typing import Final

import msgspec
import numpy as np

from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_events import (
    ClaimRecordsRead,
    DispatchEnded,
    KeyedRequestArrived,
    LogState,
    PeerMessageArrived,
)
from toucanyard.key_messages import (
    KeyStatus,
    OpenLedger,
    RecordKeys,
    TransferKeys,
    TransferredKey,
)
from toucanyard.key_records import (
    ClaimRecord,
    KeyName,
    compute_key_fingerprint,
    encode_record,
)
from toucanyard.names import (
    CustomerName,
    Incarnation,
    NodeId,
    NodeName,
    RequestId,
)
from toucanyard.options import ClaimLimits
from toucanyard.platform_log import (
    LogRecord,
)
from toucanyard.requests import CachedAnswer, DispatchEnding
from toucanyard_standins.platform import ReadBody
from toucanyard_standins.platform_log import LogRecord as PageRecord

_CUSTOMER: Final = CustomerName("lanchas")
_INCARNATION: Final = "acfd50a1a8"
_DIGEST_BYTES: Final = 32
_PAGE_CLAIMS: Final = 1_000
_SIZES: Final = (5_000, 10_000, 20_000, 40_000)


def make_claim(node: str, number: int) -> str:
    """Return a claim record of another node, with a realistic length."""
    name = KeyName(_CUSTOMER, f"8c2a5f0e-1111-4222-9333-{number:012d}")
    claimer = NodeId(NodeName(node), Incarnation(_INCARNATION))
    digest = number.to_bytes(_DIGEST_BYTES, "big")
    return encode_record(ClaimRecord(f"{_INCARNATION}-{number}", name, digest, claimer))


def compute_page_bytes() -> float:
    """Return the size of one claim in a page of the log."""
    records = tuple(
        PageRecord(1_000_000 + index, 1_700_000_000_000, make_claim("n319", index))
        for index in range(_PAGE_CLAIMS)
    )
    page = msgspec.json.encode(ReadBody(0, 0, records))
    return (len(page) - len(msgspec.json.encode(ReadBody(0, 0, ())))) / _PAGE_CLAIMS


def make_core() -> AtMostOnce:
    """Return an at-most-once core with limits above all measured sizes."""
    limits = ClaimLimits(max_keys=10**6, max_claims=10**6, kept_answers_bytes=2**30)
    core = AtMostOnce(NodeName("a"), Incarnation("a-1"), limits, random.Random(1))
    core.handle(LogState(True), 0)
    return core


def fill_claims(core: AtMostOnce, count: int) -> None:
    """Apply claims of another node to a core."""
    for start in range(0, count, 500):
        records = tuple(
            LogRecord(start + index, 0, make_claim("b", start + index))
            for index in range(500)
        )
        core.handle(ClaimRecordsRead(start, start + 500, records), 0)


def fill_issued(core: AtMostOnce, count: int) -> None:
    """Run issued keys to completion, with cached answers of 300 bytes."""
    for number in range(count):
        request_id = RequestId(f"a-1-{number}")
        key = core.issue_prefix(0) + "mine"
        core.handle(
            KeyedRequestArrived(request_id, _CUSTOMER, key, b"d" * 16, 1_000, 0), 0
        )
        answer = CachedAnswer(200, "application/json", bytes(300))
        core.handle(DispatchEnded(request_id, DispatchEnding.COMPLETED, answer), 0)


def fill_backup_records(core: AtMostOnce, count: int) -> None:
    """Let a core record keys of another node as its backup."""
    owner = NodeId(NodeName("b"), Incarnation("b-1"))
    core.handle(PeerMessageArrived(owner, OpenLedger(Incarnation("a-1"), 1)), 0)
    for number in range(count):
        name = KeyName(_CUSTOMER, f"tk1~b~b-1~a~a-1~1~0~{number:016x}~mine")
        record_keys = RecordKeys(
            Incarnation("a-1"), 1, number, (compute_key_fingerprint(name),)
        )
        core.handle(PeerMessageArrived(owner, record_keys), 0)


def fill_transferred(core: AtMostOnce, count: int) -> None:
    """Transfer ended keys of a stopping node to a core, with answers of 300 bytes."""
    owner = NodeId(NodeName("b"), Incarnation("b-1"))
    for start in range(0, count, 250):
        keys = tuple(make_transferred(start + index) for index in range(250))
        batch = TransferKeys(Incarnation("a-1"), start, keys)
        core.handle(PeerMessageArrived(owner, batch), 0)


def make_transferred(number: int) -> TransferredKey:
    """Return one transferred key of another node."""
    name = KeyName(_CUSTOMER, f"tk1~b~b-1~a~a-1~1~0~{number:016x}~mine")
    answer = CachedAnswer(200, "application/json", bytes(300))
    digest = number.to_bytes(16, "big")
    return TransferredKey(name, "", KeyStatus.ANSWERED, digest, answer)


def print_slopes() -> None:
    """Print the slopes of memory and time per stored key."""
    print(f"slopes over {', '.join(map(str, _SIZES))} keys")
    print("what is remembered                        bytes/key  us/key")
    for label, fill in (
        ("claim of any node, read from the log", fill_claims),
        ("issued key run here, answer of 300 bytes", fill_issued),
        ("key noted as witness", fill_backup_records),
        ("key handed over, answer of 300 bytes", fill_transferred),
    ):
        sizes_bytes, times_us = [], []
        for count in _SIZES:
            started_s = time.process_time()
            fill(make_core(), count)
            times_us.append((time.process_time() - started_s) * 1e6)
            tracemalloc.start()
            core = make_core()
            fill(core, count)
            sizes_bytes.append(tracemalloc.get_traced_memory()[0])
            tracemalloc.stop()
        bytes_each = np.polyfit(_SIZES, sizes_bytes, 1)[0]
        us_each = np.polyfit(_SIZES, times_us, 1)[0]
        print(f"{label:<41} {bytes_each:>9.0f} {us_each:>7.1f}", flush=True)
