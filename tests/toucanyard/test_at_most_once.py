from __future__ import annotations

import random

from toucanyard.at_most_once import AtMostOnce
from toucanyard.claim_messages import (
    AllowDispatch,
    AppendRecord,
    ClaimAction,
    ClaimRecordsRead,
    DispatchEnded,
    KeyedArrived,
    LogRecord,
    LogState,
    PeersChanged,
    PeerView,
    RefuseKeyed,
    ReplayAnswer,
    SendToPeer,
)
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.names import CustomerName, Incarnation, NodeName, RequestId
from toucanyard.options import ClaimLimits
from toucanyard.requests import EndingSeen, KeptAnswer

ANSWER = KeptAnswer(200, "text/plain", b"seat held")


def make_node(name: str = "a") -> AtMostOnce:
    node = AtMostOnce(
        NodeName(name), Incarnation(f"{name}1"), ClaimLimits(), random.Random(1)
    )
    node.handle(LogState(True), 0)
    return node


def arrive(
    request: str, key: str = "k", body: bytes = b"d", age_ms: float | None = None
) -> KeyedArrived:
    return KeyedArrived(RequestId(request), CustomerName("c"), key, body, 1_000, age_ms)


def find_append(actions: list[ClaimAction]) -> AppendRecord:
    return next(each for each in actions if isinstance(each, AppendRecord))


def read(offset: int, *texts: str) -> ClaimRecordsRead:
    records = tuple(
        LogRecord(offset + place, 0, text) for place, text in enumerate(texts)
    )
    return ClaimRecordsRead(offset, offset + len(texts), records)


def test_claim_read_back_allows_one_dispatch_and_replays_its_answer() -> None:
    node = make_node()
    claim = find_append(node.handle(arrive("r1"), 0))
    assert node.handle(arrive("r2"), 1) == []
    assert node.handle(read(0, claim.text), 2) == [AllowDispatch(RequestId("r1"))]
    ended = DispatchEnded(RequestId("r1"), EndingSeen.COMPLETED, ANSWER)
    assert node.handle(ended, 3) == [ReplayAnswer(RequestId("r2"), ANSWER)]
    assert node.handle(arrive("r3"), 4) == [ReplayAnswer(RequestId("r3"), ANSWER)]
    refusal = node.handle(arrive("r4", body=b"other"), 5)[0]
    assert isinstance(refusal, RefuseKeyed)
    assert refusal.kind is ErrorKind.KEY_REUSED


def test_log_outage_refuses_chosen_keys_at_once_and_issued_keys_go_on() -> None:
    """The log goes down; callers keep sending keys of both sorts.

    A chosen key is refused in the same step: as not run when the caller declared
    its first try, else as unknown, since an earlier try may have been claimed by a
    node whose record was not read. An issued key needs no log and is dispatched.
    """
    node = make_node()
    pending = node.handle(arrive("r0", "k0", age_ms=0), 0)
    assert isinstance(pending[0], AppendRecord)
    first, *rest = node.handle(LogState(False), 1)
    assert isinstance(first, RefuseKeyed)
    assert first.ending is Ending.NOT_RUN
    assert rest == []
    for age_ms, ending in ((0, Ending.NOT_RUN), (None, Ending.UNKNOWN)):
        refusal = node.handle(arrive("r1", "k1", age_ms=age_ms), 2)[0]
        assert isinstance(refusal, RefuseKeyed)
        assert refusal.kind is ErrorKind.LOG_UNAVAILABLE
        assert refusal.ending is ending
    issued = node.issue_prefix(2) + "mine"
    assert node.handle(arrive("r2", issued), 3) == [AllowDispatch(RequestId("r2"))]


def test_issued_key_waits_for_its_witness() -> None:
    issuer, witness = make_node("a"), make_node("b")
    view = PeerView(NodeName("b"), Incarnation("b1"), True)
    asked = issuer.handle(PeersChanged((view,)), 0)
    exchange(issuer, witness, asked, 0)
    key = issuer.issue_prefix(1) + "mine"
    noting = issuer.handle(arrive("r1", key), 2)
    assert all(isinstance(each, SendToPeer) for each in noting)
    assert exchange(issuer, witness, noting, 3) == [AllowDispatch(RequestId("r1"))]


def exchange(
    asker: AtMostOnce, answerer: AtMostOnce, actions: list[ClaimAction], now_ms: float
) -> list[ClaimAction]:
    """Carry one question and its answer; return what the asker then does."""
    from toucanyard.claim_messages import NodeId, PeerMessageArrived

    question = actions[0]
    assert isinstance(question, SendToPeer)
    sender = NodeId(NodeName("a"), Incarnation("a1"))
    answers = answerer.handle(PeerMessageArrived(sender, question.message), now_ms)
    answer = answers[0]
    assert isinstance(answer, SendToPeer)
    sender = NodeId(NodeName("b"), Incarnation("b1"))
    return asker.handle(PeerMessageArrived(sender, answer.message), now_ms)
