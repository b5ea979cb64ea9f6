from __future__ import annotations

import random

import pytest

from toucanyard.at_most_once import AtMostOnce
from toucanyard.cbor_messages import MAX_MESSAGE_BYTES
from toucanyard.claim_events import (
    AllowDispatch,
    AppendRecord,
    CallerLeft,
    ClaimAction,
    ClaimRecordsRead,
    DispatchEnded,
    KeyedRequestArrived,
    LogState,
    PeerMessageArrived,
    PeersChanged,
    PeerView,
    RefuseKeyedRequest,
    ReplayAnswer,
    SendToPeer,
    Ticked,
)
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.key_messages import KeyReport, KeyStatus, QueryKey, RevokeKey
from toucanyard.key_records import (
    AbandonRecord,
    ClaimRecord,
    KeyName,
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
from toucanyard.wire import encode_message

ANSWER = CachedAnswer(200, "text/plain", b"seat held")


def make_node(name: str = "a", max_keys: int = 1_000) -> AtMostOnce:
    limits = ClaimLimits(max_keys=max_keys)
    node = AtMostOnce(NodeName(name), Incarnation(f"{name}1"), limits, random.Random(1))
    node.handle(LogState(True), 0)
    return node


def arrive(
    request: str, key: str = "k", body: bytes = b"d", age_ms: float | None = None
) -> KeyedRequestArrived:
    return KeyedRequestArrived(
        RequestId(request), CustomerName("c"), key, body, 1_000, age_ms
    )


def find_append(actions: list[ClaimAction]) -> AppendRecord:
    return next(each for each in actions if isinstance(each, AppendRecord))


def read(offset: int, *texts: str) -> ClaimRecordsRead:
    records = tuple(
        LogRecord(offset + index, 0, text) for index, text in enumerate(texts)
    )
    return ClaimRecordsRead(offset, offset + len(texts), records)


def test_claim_read_back_allows_one_dispatch_and_replays_its_answer() -> None:
    node = make_node()
    claim = find_append(node.handle(arrive("r1"), 0))
    assert node.handle(arrive("r2"), 1) == []
    assert node.handle(read(0, claim.text), 2) == [AllowDispatch(RequestId("r1"))]
    ended = DispatchEnded(RequestId("r1"), DispatchEnding.COMPLETED, ANSWER)
    assert node.handle(ended, 3) == [ReplayAnswer(RequestId("r2"), ANSWER)]
    assert node.handle(arrive("r3"), 4) == [ReplayAnswer(RequestId("r3"), ANSWER)]
    refusal = node.handle(arrive("r4", body=b"other"), 5)[0]
    assert isinstance(refusal, RefuseKeyedRequest)
    assert refusal.kind is ErrorKind.KEY_REUSED


def test_log_outage_refuses_chosen_keys_at_once_and_issued_keys_go_on() -> None:
    """The log goes down while callers send keys of both kinds.

    A chosen key is refused immediately: as NOT_RUN if the caller declared its first
    attempt, otherwise as UNKNOWN, since an earlier attempt may have been claimed by a
    node whose record was not read. An issued key needs no log and is dispatched.
    """
    node = make_node()
    pending = node.handle(arrive("r0", "k0", age_ms=0), 0)
    assert isinstance(pending[0], AppendRecord)
    first, *rest = node.handle(LogState(False), 1)
    assert isinstance(first, RefuseKeyedRequest)
    assert first.ending is Ending.NOT_RUN
    assert rest == []
    for age_ms, ending in ((0, Ending.NOT_RUN), (None, Ending.UNKNOWN)):
        refusal = node.handle(arrive("r1", "k1", age_ms=age_ms), 2)[0]
        assert isinstance(refusal, RefuseKeyedRequest)
        assert refusal.kind is ErrorKind.LOG_UNAVAILABLE
        assert refusal.ending is ending
    issued = node.issue_prefix(2) + "mine"
    assert node.handle(arrive("r2", issued), 3) == [AllowDispatch(RequestId("r2"))]


def test_issued_key_waits_for_its_witness() -> None:
    issuer, backup = make_node("a"), make_node("b")
    view = PeerView(NodeName("b"), Incarnation("b1"), True)
    sent = issuer.handle(PeersChanged((view,)), 0)
    exchange(issuer, backup, sent, 0)
    key = issuer.issue_prefix(1) + "mine"
    recording = issuer.handle(arrive("r1", key), 2)
    assert all(isinstance(each, SendToPeer) for each in recording)
    assert exchange(issuer, backup, recording, 3) == [AllowDispatch(RequestId("r1"))]


def test_notes_of_a_short_time_go_together_and_each_key_gets_its_own_answer() -> None:
    """Three keys arrive at once; the backup node has already revoked the second.

    The first key is sent immediately, the others in one batch. Only recorded keys are
    dispatched, and answers from another node and repeated answers are ignored.
    """
    issuer, backup = make_node("a"), make_node("b")
    view = PeerView(NodeName("b"), Incarnation("b1"), True)
    exchange(issuer, backup, issuer.handle(PeersChanged((view,)), 0), 0)
    keys = [issuer.issue_prefix(1) + f"{number}" for number in range(3)]
    revoked = KeyName(CustomerName("c"), keys[1])
    a1 = NodeId(NodeName("a"), Incarnation("a1"))
    stranger = NodeId(NodeName("x"), Incarnation("x1"))
    revoke = RevokeKey(Incarnation("b1"), 1, a1, revoked)
    backup.handle(PeerMessageArrived(stranger, revoke), 1)
    first = issuer.handle(arrive("r0", keys[0]), 2)
    assert issuer.handle(arrive("r1", keys[1]), 2) == []
    assert issuer.handle(arrive("r2", keys[2]), 2) == []
    assert exchange(issuer, backup, first, 2) == [AllowDispatch(RequestId("r0"))]
    [gathered] = issuer.handle(Ticked(), 3)
    assert isinstance(gathered, SendToPeer)
    [answer] = backup.handle(PeerMessageArrived(a1, gathered.message), 4)
    assert isinstance(answer, SendToPeer)
    assert issuer.handle(PeerMessageArrived(stranger, answer.message), 5) == []
    b1 = NodeId(NodeName("b"), Incarnation("b1"))
    refusal, allowed = issuer.handle(PeerMessageArrived(b1, answer.message), 5)
    assert isinstance(refusal, RefuseKeyedRequest)
    assert refusal.kind is ErrorKind.KEY_SEALED
    assert allowed == AllowDispatch(RequestId("r2"))
    assert issuer.handle(PeerMessageArrived(b1, answer.message), 6) == []


def make_claim(claimer: str, key: str, body: bytes = b"d") -> str:
    name = KeyName(CustomerName("c"), key)
    identity = NodeId(NodeName(claimer), Incarnation(f"{claimer}1"))
    return encode_record(ClaimRecord(f"{claimer}1-1", name, body, identity))


def read_at(offset: int, at_ms: float, text: str) -> ClaimRecordsRead:
    return ClaimRecordsRead(offset, offset + 1, (LogRecord(offset, at_ms, text),))


def retry_at(now_ms: float, body: bytes = b"d") -> KeyedRequestArrived:
    deadline_ms = now_ms + 1_000
    return KeyedRequestArrived(
        RequestId("late"), CustomerName("c"), "k", body, deadline_ms
    )


def test_claim_missed_for_want_of_room_is_never_reported_as_not_run() -> None:
    """A node's index is full when it reads another node's claim of a key.

    This node has claimed the same key and given up its claim. Once there is room
    again, its own claim is read and looks like the first one. The other node has run
    the key, so a caller here must get UNKNOWN, not NOT_RUN.
    """
    node = make_node(max_keys=1)
    node.handle(read(0, make_claim("z", "other")), 0)
    own = find_append(node.handle(arrive("r1"), 0))
    node.handle(CallerLeft(RequestId("r1")), 0)
    missed = LogRecord(1, 500_000, make_claim("b", "k"))
    node.handle(ClaimRecordsRead(1, 2, (missed,)), 500_000)
    later = LogRecord(2, 800_000, '{"kind":"checkpoint"}')
    node.handle(ClaimRecordsRead(2, 3, (later,)), 800_000)
    node.handle(Ticked(), 800_000)
    assert node.count_claims() == 0
    node.handle(ClaimRecordsRead(3, 4, (LogRecord(3, 800_000, own.text),)), 800_000)
    retry = KeyedRequestArrived(RequestId("r2"), CustomerName("c"), "k", b"d", 801_000)
    refusal = node.handle(retry, 800_000)[0]
    assert isinstance(refusal, RefuseKeyedRequest)
    assert refusal.ending is Ending.UNKNOWN


def test_claims_of_other_nodes_have_a_bound_of_their_own() -> None:
    """The claims of a large fleet fill a node's index, which has a limit of its own so
    that they leave room for the node's own keys.

    Chosen keys are refused, since a skipped claim may have won them.
    """
    limits = ClaimLimits(max_claims=1)
    node = AtMostOnce(NodeName("a"), Incarnation("a1"), limits, random.Random(1))
    node.handle(LogState(True), 0)
    node.handle(read(0, make_claim("z", "first")), 0)
    node.handle(read(1, make_claim("y", "second")), 0)
    assert node.count_claims() == 1
    assert isinstance(node.handle(arrive("r1", "second"), 0)[0], RefuseKeyedRequest)


def test_body_of_a_claim_that_may_have_lost_is_no_proof() -> None:
    """The winning claim of a key was skipped because the index was full; a losing claim
    with another body was read.

    A retry with the winner's body, which ran, must not get NOT_RUN for that body.
    """
    node = make_node(max_keys=1)
    node.handle(read(0, make_claim("z", "other")), 0)
    node.handle(read_at(1, 500_000, make_claim("b", "k", b"ran")), 500_000)
    node.handle(read_at(2, 800_000, '{"kind":"checkpoint"}'), 800_000)
    node.handle(Ticked(), 800_000)
    node.handle(read_at(3, 800_000, make_claim("x", "k", b"lost")), 800_000)
    assert node.count_claims() == 1
    reply = node.handle(retry_at(800_000, b"ran"), 800_000)
    assert not any(isinstance(each, RefuseKeyedRequest) for each in reply)


def test_key_used_anew_is_known_where_its_old_claim_is_remembered() -> None:
    """A key is used again after its window; this node expires the first claim late.

    The other node has expired it, claims the key again and runs it. This node reads
    the second claim while it still holds the first. A retry must find the second claim
    even after the first has expired, or the request would run twice.
    """
    node = make_node()
    node.handle(read(0, make_claim("x", "k")), 0)
    node.handle(read_at(1, 760_000, make_claim("b", "k")), 740_000)
    node.handle(Ticked(), 760_000)
    [sent] = node.handle(retry_at(760_000), 760_000)
    assert isinstance(sent, SendToPeer)
    assert sent.node == "b"


def test_jump_of_the_logs_clock_proves_nothing_of_a_claim() -> None:
    """Two claims of a key race, and the log's clock jumps by an hour between them.

    By that clock the first claim is expired, and this node's claim, which it gave up,
    looks like the winner. The first claimer has run the key, so NOT_RUN would be false.
    """
    node = make_node()
    own = find_append(node.handle(arrive("r1"), 0))
    node.handle(CallerLeft(RequestId("r1")), 0)
    node.handle(read(0, make_claim("b", "k")), 1)
    node.handle(read_at(1, 3_600_000, own.text), 2)
    for action in node.handle(retry_at(3), 3):
        assert (
            not isinstance(action, RefuseKeyedRequest)
            or action.ending is Ending.UNKNOWN
        )


def test_claim_past_its_window_proves_no_more_that_nothing_ran() -> None:
    """A claim was abandoned; after its window the key is used again at another node.

    That node has expired the claim and runs the key. The caller retries here, where the
    old claim is still held and the new one was not read yet. NOT_RUN would be false.
    """
    node = make_node()
    claim = make_claim("x", "k")
    name = KeyName(CustomerName("c"), "k")
    node.handle(read(0, claim, encode_record(AbandonRecord("x1-1", name))), 0)
    for now_ms, kind in (
        (599_000, ErrorKind.KEY_SEALED),
        (601_000, ErrorKind.OUTCOME_UNKNOWN),
    ):
        [reply] = node.handle(retry_at(now_ms), now_ms)
        assert isinstance(reply, RefuseKeyedRequest)
        assert reply.kind is kind


def test_claimer_that_slept_past_the_window_asks_who_ran_the_key() -> None:
    """A claimer pauses before it reads its claim back, and resumes after the window.

    Another node has expired that claim and run the key for a retry. The claimer revokes
    its own claim, which is too late to run. For a retry it must query the other node
    instead of returning the result of its own claim.
    """
    node = make_node()
    own = find_append(node.handle(arrive("r1"), 0))
    node.handle(read_at(0, 0, own.text), 760_000)
    node.handle(read_at(1, 755_000, make_claim("b", "k")), 760_000)
    [sent] = node.handle(retry_at(760_000), 760_000)
    assert isinstance(sent, SendToPeer)
    assert sent.node == "b"


def test_question_about_an_earlier_claim_gets_no_word_of_the_later_one() -> None:
    """A key ran here; after its window it was claimed here again, but did not run.

    Another node, which expires claims later, still queries the first claim. If it got
    the result of the second claim, it would report NOT_RUN for a request that ran.
    """
    node = make_node()
    first = find_append(node.handle(arrive("r1"), 0))
    node.handle(read(0, first.text), 1)
    node.handle(DispatchEnded(RequestId("r1"), DispatchEnding.COMPLETED, ANSWER), 2)
    node.handle(read_at(1, 760_000, '{"kind":"checkpoint"}'), 760_000)
    node.handle(Ticked(), 760_000)
    second = find_append(node.handle(retry_at(760_000), 760_000))
    node.handle(read_at(2, 760_000, second.text), 762_000)
    name = KeyName(CustomerName("c"), "k")
    query = QueryKey(Incarnation("a1"), name, first.record_id)
    sender = NodeId(NodeName("b"), Incarnation("b1"))
    [reply] = node.handle(PeerMessageArrived(sender, query), 762_000)
    assert isinstance(reply, SendToPeer)
    assert isinstance(reply.message, KeyReport)
    assert reply.message.status is KeyStatus.UNKNOWN


@pytest.mark.parametrize(
    ("size_bytes", "expected"), [(2_000_000, [1, 0, 1]), (5_000_000, [0, 0, 0])]
)
def test_large_answer_is_passed_on_once_in_a_while_or_not_at_all(
    size_bytes: int, expected: list[int]
) -> None:
    """A retry at another node queries an answer of several megabytes every 100 ms.

    The transfer between the nodes takes seconds. A copy for each query would delay all
    other messages until the link is considered dead, and a message over the size limit
    would close it. For such an answer the caller gets OUTCOME_UNKNOWN.
    """
    node = make_node()
    own = find_append(node.handle(arrive("r1"), 0))
    node.handle(read(0, own.text), 1)
    answer = CachedAnswer(200, "application/pdf", bytes(size_bytes))
    node.handle(DispatchEnded(RequestId("r1"), DispatchEnding.COMPLETED, answer), 2)
    query = QueryKey(Incarnation("a1"), KeyName(CustomerName("c"), "k"), own.record_id)
    sender = NodeId(NodeName("b"), Incarnation("b1"))
    copies = []
    for now_ms in (100, 200, 6_000):
        reply = node.handle(PeerMessageArrived(sender, query), now_ms)
        messages = [each.message for each in reply if isinstance(each, SendToPeer)]
        answers = [each for each in messages if getattr(each, "answer", None)]
        copies.append(len(answers))
        assert all(len(encode_message(each)) < MAX_MESSAGE_BYTES for each in messages)
    assert copies == expected


def test_records_missed_in_a_pause_longer_than_retention_give_claims_up() -> None:
    """A node is suspended, clock and all, until the log has expired records.

    They may include an earlier claim of the same key. The node's own claim, read next,
    then looks like the first one; dispatching it would run the key twice.
    """
    node = make_node()
    node.handle(read(0, '{"kind":"checkpoint"}'), 0)
    own = find_append(node.handle(arrive("r1"), 0))
    actions = node.handle(read(5, own.text), 1)
    assert not any(isinstance(each, AllowDispatch) for each in actions)
    assert isinstance(actions[0], RefuseKeyedRequest)


def test_issuer_that_slept_names_no_witness_that_may_have_forgotten_it() -> None:
    """A node pauses for longer than backup nodes keep ledgers, then issues a key.

    For the old ledger the backup node would answer GONE, and the new key would be
    refused although its issuer is healthy. Without a backup node the key runs.
    """
    issuer, backup = make_node("a"), make_node("b")
    view = PeerView(NodeName("b"), Incarnation("b1"), True)
    exchange(issuer, backup, issuer.handle(PeersChanged((view,)), 0), 0)
    late_ms = 4 * ClaimLimits().window_ms
    key = issuer.issue_prefix(late_ms) + "mine"
    attempt = KeyedRequestArrived(
        RequestId("r"), CustomerName("c"), key, b"d", late_ms + 1_000
    )
    assert issuer.handle(attempt, late_ms) == [AllowDispatch(RequestId("r"))]


def test_key_of_a_dead_issuer_is_sealed_by_its_witness() -> None:
    """The issuer dies before it gets a key; the caller retries at the backup node.

    The backup node has not recorded the key, so it revokes it and the caller may use a
    new one. A key that the issuer had begun was recorded, so its outcome is unknown.
    """
    issuer, backup = make_node("a"), make_node("b")
    view = PeerView(NodeName("b"), Incarnation("b1"), True)
    exchange(issuer, backup, issuer.handle(PeersChanged((view,)), 0), 0)
    unseen = issuer.issue_prefix(1) + "unseen"
    begun = issuer.issue_prefix(1) + "begun"
    exchange(issuer, backup, issuer.handle(arrive("r1", begun), 2), 2)
    backup.handle(PeersChanged((PeerView(NodeName("a"), Incarnation("a2"), True),)), 3)
    reply = []
    for key in (unseen, begun):
        reply += backup.handle(arrive("r2", key), 4)
        reply += backup.handle(Ticked(), 200)
    endings = [each.ending for each in reply if isinstance(each, RefuseKeyedRequest)]
    assert endings == [Ending.NOT_RUN, Ending.UNKNOWN]


def test_overlong_key_is_refused_and_not_remembered() -> None:
    node = make_node()
    refusal = node.handle(arrive("r", "k" * 256), 0)[0]
    assert isinstance(refusal, RefuseKeyedRequest)
    assert refusal.kind is ErrorKind.BAD_REQUEST
    assert node.count_keys() == 0


def test_one_customer_leaves_room_for_the_others() -> None:
    """One customer sends more keys than its share of a node's capacity.

    It is refused as overloaded, and another customer's key is still accepted; without
    the share, the other customer would be refused until the window has passed.
    """
    node = make_node(max_keys=4)
    actions = [
        node.handle(arrive(f"r{number}", node.issue_prefix(0)), 0)[0]
        for number in range(3)
    ]
    assert [type(each) for each in actions] == [
        AllowDispatch,
        AllowDispatch,
        RefuseKeyedRequest,
    ]
    key = node.issue_prefix(0)
    other = KeyedRequestArrived(RequestId("o"), CustomerName("other"), key, b"d", 1_000)
    assert node.handle(other, 0) == [AllowDispatch(RequestId("o"))]
    for number in range(2):
        ended = DispatchEnded(RequestId(f"r{number}"), DispatchEnding.COMPLETED, ANSWER)
        node.handle(ended, 1)
    node.handle(Ticked(), 2 * ClaimLimits().window_ms)
    assert node.count_keys() == 1


def exchange(
    asker: AtMostOnce, answerer: AtMostOnce, actions: list[ClaimAction], now_ms: float
) -> list[ClaimAction]:
    """Deliver one query and its answer; return the resulting actions of the sender."""
    question = actions[0]
    assert isinstance(question, SendToPeer)
    sender = NodeId(NodeName("a"), Incarnation("a1"))
    answers = answerer.handle(PeerMessageArrived(sender, question.message), now_ms)
    answer = answers[0]
    assert isinstance(answer, SendToPeer)
    sender = NodeId(NodeName("b"), Incarnation("b1"))
    return asker.handle(PeerMessageArrived(sender, answer.message), now_ms)
