from __future__ import annotations

import pytest

from key_world import CUSTOMERS, NAMES, Key, Node, World
from toucanyard.claim_events import (
    PeerMessageArrived,
    SendToPeer,
)
from toucanyard.issued_keys import parse_issued_key
from toucanyard.key_messages import (
    KeysAccepted,
    KeyStatus,
    TransferKeys,
    TransferredKey,
)
from toucanyard.key_records import (
    KeyName,
)
from toucanyard.options import ClaimLimits
from toucanyard.requests import CachedAnswer, DispatchEnding
from toucanyard.transferred_keys import TransferredKeys

A, B, C = NAMES
TICK_MS = 100


def make_world(max_keys: int = 1_000) -> World:
    world = World(max_keys)
    world.run_rounds(3, None)
    return world


def get_node(world: World, number: int) -> Node:
    node = world.nodes[NAMES[number]]
    assert node is not None
    return node


def run_key(world: World, is_issued: bool, number: int = 0) -> Key:
    """Let a node, by default A, answer a new key."""
    node = get_node(world, number)
    prefix = node.core.issue_prefix(node.now(world.now_ms)) if is_issued else ""
    key = Key(CUSTOMERS[0], prefix + f"k{len(world.keys)}")
    world.keys.append(key)
    world.send(node, key, b"one", declares_age=True)
    world.run_rounds(4, DispatchEnding.COMPLETED)
    assert len(key.executions) == 1
    return key


def run_hand_over(world: World, number: int, rounds: int = 12) -> Node:
    """Let a node complete its handover and stop; return it."""
    node = get_node(world, number)
    world.begin_stop(NAMES[number])
    for _ in range(rounds):
        world.run_rounds(1, None)
        world.advance(TICK_MS)
    world.kill(NAMES[number])
    return node


def retry(world: World, number: int, key: Key, body: bytes = b"one") -> str:
    """Send a key once more and return how the attempt ended."""
    attempt = world.send(get_node(world, number), key, body, declares_age=True)
    for _ in range(4):
        world.run_rounds(2, None)
        world.advance(TICK_MS)
    return attempt.endings[0]


@pytest.mark.parametrize("is_issued", (False, True))
def test_retry_after_a_stop_gets_the_answer_from_any_node(is_issued: bool) -> None:
    """Node A answers a key and ends a planned stop; its caller retries at B and at C.

    Both hold A's ended keys, so the retry gets the same answer, and another body is
    refused. Without the handover both would return OUTCOME_UNKNOWN.
    """
    world = make_world()
    key = run_key(world, is_issued)
    stopped = run_hand_over(world, 0).core
    assert stopped.is_handover_done() and stopped.count_not_transferred() == 0
    for number in (1, 2):
        assert retry(world, number, key) == "replayed"
        assert retry(world, number, key, b"two") == "key_reused"
    assert len(key.executions) == 1


def test_node_that_starts_after_the_stop_finds_the_holder_in_the_log() -> None:
    """A stops, then C is replaced, so the new C has received no announcement of A.

    It reads the holders of A's keys from the log, queries one of them and returns the
    answer.
    """
    world = make_world()
    key = run_key(world, is_issued=False)
    run_hand_over(world, 0)
    world.kill(C)
    world.start(C)
    world.send_views()
    world.run_rounds(2, None)
    assert retry(world, 2, key) == "replayed"


def test_holder_that_stops_hands_on_what_it_holds() -> None:
    """Nodes are replaced one by one: A transfers to B and C, then these stop as well.

    Each remaining node has the answer or finds it through the chain of stopped nodes.
    """
    world = make_world()
    key = run_key(world, is_issued=False)
    for number in (0, 1, 2):
        run_hand_over(world, number)
        world.start(NAMES[number])
        world.send_views()
        world.run_rounds(3, None)
    for number in (0, 1, 2):
        assert retry(world, number, key) == "replayed"
    assert len(key.executions) == 1


def test_peers_are_told_who_holds_the_keys_while_the_log_is_down() -> None:
    """The log is down when A stops, so the holders of its keys can't be recorded there.

    A announces them to its peers directly, and stops without waiting for the log.
    """
    world = make_world()
    key = run_key(world, is_issued=True)
    world.set_log(is_up=False)
    assert run_hand_over(world, 0).core.is_handover_done()
    assert retry(world, 1, key) == "replayed"


def test_peer_that_got_no_keys_asks_the_one_that_did() -> None:
    """All batches from A to C are lost and the log is down, so only B holds A's key.

    At its time limit A announces B as the holder, so C queries B. Without the
    announcement C could only wait for A until the deadline.
    """
    world = make_world()
    key = run_key(world, is_issued=True)
    world.set_log(is_up=False)
    world.begin_stop(A)
    for _ in range(46):
        for node in world.live():
            world.run_node(node)
        world.network = [
            each
            for each in world.network
            if each.to != C or not isinstance(each.message, TransferKeys)
        ]
        world.deliver_all()
        world.advance(TICK_MS)
    world.kill(A)
    assert get_node(world, 2).core.count_transferred() == 0
    assert retry(world, 2, key) == "replayed"


def test_full_peer_takes_no_keys_and_says_so() -> None:
    """A peer without room for a whole batch must refuse it: the sender would regard a
    partly accepted batch as complete."""
    world = make_world(max_keys=4)
    node, sender = get_node(world, 1), get_node(world, 0).identity
    keys = tuple(
        TransferredKey(KeyName(CUSTOMERS[0], f"k{number}"), "", KeyStatus.NOT_RUN, b"")
        for number in range(3)
    )
    for batch, is_taken in ((keys, False), (keys[:2], True), (keys[:2], True)):
        message = TransferKeys(node.identity.incarnation, 7, batch)
        answer = SendToPeer(A, KeysAccepted(sender.incarnation, 7, is_taken))
        arrived = PeerMessageArrived(sender, message)
        assert node.core.handle(arrived, 1_000) == [answer]


def test_lost_messages_are_sent_again_and_late_ones_change_nothing() -> None:
    """The first messages of the handover are lost, and are delivered twice later.

    The batch is resent after a timeout, and late copies, from a node that has already
    stopped, have no effect.
    """
    world = make_world()
    key = run_key(world, is_issued=False)
    world.begin_stop(A)
    world.run_node(get_node(world, 0))
    lost, world.network = world.network, []
    transfers = [each for each in lost if isinstance(each.message, TransferKeys)]
    assert {each.to for each in transfers} == {B, C}
    for _ in range(14):
        world.run_rounds(1, None)
        world.advance(TICK_MS)
    world.kill(A)
    assert retry(world, 1, key) == "replayed"
    for message in transfers * 2:
        world.deliver(message)
    assert retry(world, 2, key) == "replayed"
    assert get_node(world, 1).core.count_transferred() == 1


def test_stop_that_is_cut_short_leaves_the_outcome_unknown() -> None:
    """A dies after sending its batches, before they arrive and it names the holders.

    No node knows of a holder of A's keys, so a retry gets OUTCOME_UNKNOWN, and never
    NOT_RUN.
    """
    world = make_world()
    key = run_key(world, is_issued=False)
    world.begin_stop(A)
    world.run_node(get_node(world, 0))
    world.network.clear()
    assert get_node(world, 0).core.count_not_transferred() == 1
    world.kill(A)
    world.start(A)
    world.send_views()
    world.run_rounds(2, None)
    assert retry(world, 1, key) == "outcome_unknown"


def test_peer_that_stops_too_is_passed_over() -> None:
    """B's own handover has begun when A sends it keys, so they would be lost with B.

    B refuses them; C accepts them, and the announcement names only C.
    """
    world = make_world()
    run_hand_over(world, 1, rounds=0)
    world.start(B)
    world.send_views()
    world.run_rounds(3, None)
    key = run_key(world, is_issued=False)
    world.begin_stop(B)
    world.run_node(get_node(world, 1))
    run_hand_over(world, 0)
    assert get_node(world, 1).core.count_transferred() == 0
    assert retry(world, 2, key) == "replayed"


def test_key_that_was_still_running_stays_unknown() -> None:
    """The time limit for A's last requests is over while one of them still runs.

    Its key is not transferred. A retry gets OUTCOME_UNKNOWN without delay, since A and
    all holders of its keys are known not to have the result.
    """
    world = make_world()
    run_key(world, is_issued=False)
    running = Key(CUSTOMERS[0], "running")
    world.keys.append(running)
    world.send(get_node(world, 0), running, b"one", declares_age=True)
    world.run_rounds(4, None)
    run_hand_over(world, 0)
    assert retry(world, 1, running) == "outcome_unknown"
    assert len(running.executions) == 1


def test_stopping_node_takes_no_new_key() -> None:
    """A key that ran now would not be transferred, so it is refused as not run."""
    world = make_world()
    run_key(world, is_issued=False)
    world.begin_stop(A)
    key = Key(CUSTOMERS[0], "late")
    world.keys.append(key)
    assert retry(world, 0, key) == "draining"
    assert key.executions == []


def test_held_keys_are_bounded_and_tell_only_of_their_own_claim() -> None:
    """A node receives more keys than its limits, and a query for a claim it lacks.

    Batches without room are refused, answers over the limit are evicted while their
    keys stay, and a later claim of the same key does not get the earlier one's answer.
    """
    held = TransferredKeys(
        ClaimLimits(max_keys=4, kept_answers_bytes=2_000, window_ms=50)
    )
    answer = CachedAnswer(200, "text/plain", b"x" * 500)
    names = [KeyName(CUSTOMERS[0], f"k{number}") for number in range(3)]
    keys = [
        TransferredKey(name, "claim", KeyStatus.ANSWERED, b"d", answer)
        for name in names
    ]
    held.accept(keys[:2], 0)
    assert held.has_room(keys[:2])
    assert not held.has_room(keys)
    found = [held.find(name, "claim") for name in names]
    assert [each.answer if each else None for each in found] == [None, answer, None]
    assert found[0] is not None
    assert held.find(names[1], "later") is None
    held.forget_old(50)
    assert len(held) == 0


def test_keys_for_another_incarnation_are_not_taken() -> None:
    world = make_world()
    node = get_node(world, 1)
    key = TransferredKey(KeyName(CUSTOMERS[0], "k"), "", KeyStatus.NOT_RUN, b"")
    message = TransferKeys(get_node(world, 2).identity.incarnation, 1, (key,))
    sender = get_node(world, 0).identity
    assert node.core.handle(PeerMessageArrived(sender, message), 1_000) == []
    assert node.core.count_transferred() == 0


def test_issuer_and_witness_that_stopped_together_leave_no_one_to_wait_for() -> None:
    """The issuer of a key and its backup node end planned stops one after the other.

    The key was still running at its issuer's time limit, so no node holds its result,
    and the backup node's ledger is lost. A retry gets OUTCOME_UNKNOWN as soon as its
    node has queried the holders, not at its deadline.
    """
    world = make_world()
    issued = parse_issued_key(run_key(world, is_issued=True).text)
    assert issued is not None and issued.backup is not None
    backup = NAMES.index(issued.backup.node)
    run_key(world, is_issued=False, number=backup)
    issuer = get_node(world, 0)
    prefix = issuer.core.issue_prefix(issuer.now(world.now_ms))
    running = Key(CUSTOMERS[0], prefix + "running")
    world.keys.append(running)
    world.send(issuer, running, b"one", declares_age=True)
    world.advance(TICK_MS)
    world.run_rounds(4, None)
    assert len(running.executions) == 1
    for number in (0, backup):
        run_hand_over(world, number)
        world.send_views()
        world.run_rounds(1, None)
    [left] = world.live()
    assert left.core.count_transferred() == 2
    assert retry(world, NAMES.index(left.identity.node), running) == "outcome_unknown"
