from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.keyed_view import MAX_TOMBSTONES, KeyedRecord, KeyedView, Topic
from toucanyard.log_position import LogPosition
from toucanyard.store_availability import AnsweredRead


def at(offset: int, era: int = 0) -> LogPosition:
    return LogPosition(era, offset)


def decode(_: Topic, key: str, value: bytes) -> object:
    return (key, value)


def build_view() -> KeyedView:
    return KeyedView(Topic.REPLICAS, decode)


LOGS = st.lists(
    st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.binary(max_size=1))),
    max_size=12,
)


def build_log(entries: list[tuple[str, bytes | None]]) -> list[KeyedRecord]:
    return [KeyedRecord(key, at, value) for at, (key, value) in enumerate(entries)]


def find_newest(log: list[KeyedRecord]) -> dict[str, object]:
    newest = {each.key: each for each in log}
    return {
        key: (key, each.value) for key, each in newest.items() if each.value is not None
    }


def list_state(view: KeyedView) -> dict[str, object]:
    return {fact[0]: fact for fact in view.list_facts()}  # type: ignore[index]


@given(LOGS, st.randoms())
def test_any_order_and_repetition_ends_with_the_newest(
    entries: list[tuple[str, bytes | None]], rng: object
) -> None:
    """A node receives records from the store and from peers, twice and out of order.

    If they were applied in the order of arrival, an old entry would restore a removed
    replica.
    """
    log = build_log(entries)
    shuffled = log + log
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    view = build_view()
    for record in shuffled:
        view.apply([record], at(0), is_whole=False)
    assert list_state(view) == find_newest(log)


@given(LOGS, st.data())
def test_stale_list_never_undoes_what_is_known(
    entries: list[tuple[str, bytes | None]], data: st.DataObject
) -> None:
    """The store's list of newest records is read while records are appended.

    Its pages date from different times: a record in it may be older than one that this
    node has read from the log, and it may lack a key that was written later.
    """
    log = build_log(entries)
    cut = data.draw(st.integers(0, len(log)))
    view = build_view()
    view.apply(log, at(len(log)), is_whole=False)
    old = {each.key: each for each in log[:cut]}
    stale = [each for each in old.values() if each.value is not None]
    view.apply(stale, at(cut), is_whole=True)
    assert list_state(view) == find_newest(log)
    assert view.end == at(len(log))


@given(LOGS, st.data())
def test_peer_that_lags_gets_all_it_lacks(
    entries: list[tuple[str, bytes | None]], data: st.DataObject
) -> None:
    log = build_log(entries)
    cut = data.draw(st.integers(0, len(log)))
    ahead, behind = build_view(), build_view()
    ahead.apply(log, at(len(log)), is_whole=False)
    behind.apply(log[:cut], at(cut), is_whole=False)
    is_whole, records = ahead.list_since(behind.end)
    behind.apply(records, ahead.end, is_whole=is_whole)
    assert list_state(behind) == list_state(ahead)
    assert behind.end == ahead.end


def test_heartbeat_without_news_is_no_change() -> None:
    view = build_view()
    assert view.apply([KeyedRecord("a", 0, b"x")], at(1), is_whole=False)
    assert not view.apply([KeyedRecord("a", 1, b"x")], at(2), is_whole=False)
    assert view.list_since(at(1)) == (False, [])
    changes = view.apply([KeyedRecord("a", 2, None)], at(3), is_whole=False)
    assert [each.fact for each in changes] == [None]


def test_forgotten_history_is_made_up_by_a_whole_list() -> None:
    """While this node is partitioned, a key is removed and the store's records expire.

    Reading on from the oldest record left would keep the dead replica for ever.
    """
    view = build_view()
    view.apply(
        [KeyedRecord("a", 0, b"x"), KeyedRecord("b", 1, b"x")], at(2), is_whole=False
    )
    changes = view.apply([KeyedRecord("b", 1, b"x")], at(9), is_whole=True)
    assert [(each.key, each.fact) for each in changes] == [("a", None)]
    assert view.end == at(9)


def test_removed_keys_are_bounded_and_peers_then_get_everything() -> None:
    view = build_view()
    gone = [KeyedRecord(str(n), n, None) for n in range(MAX_TOMBSTONES + 1)]
    end = len(gone) + 1
    kept = KeyedRecord("kept", len(gone), b"x")
    view.apply([*gone, kept], at(end), is_whole=False)
    is_whole, records = view.list_since(at(0))
    assert is_whole
    assert records == [kept]
    assert view.list_since(at(end - 1)) == (False, [kept])


def test_confirmation_counts_only_for_what_is_known() -> None:
    view = build_view()
    view.apply([], at(5), is_whole=False)
    view.confirm(at(7), AnsweredRead(1, 100.0, 100.0), 1_800.0)
    assert view.confirmed_ms == float("-inf")
    view.confirm(at(5), AnsweredRead(2, 90.0, 90.0), 1_800.0)
    view.confirm(at(5), AnsweredRead(3, 80.0, 80.0), 1_800.0)
    assert view.confirmed_ms == 90.0
