from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.stated_weights import (
    UNKNOWN_MS,
    StatedSpan,
    StatedWeights,
    WeightsChange,
)

from .relay_examples import MODEL

Statement = tuple[int, StatedSpan]

STEPS = st.lists(
    st.tuples(st.integers(0, 9), st.floats(0, 50), st.floats(0, 50)), max_size=20
)
"""Version, and how long before and after its moment a statement begins and ends."""


def state(steps: list[tuple[int, float, float]]) -> list[Statement]:
    """Return statements that were made one time unit after the other."""
    return [
        (version, StatedSpan(at - before, at + after))
        for at, (version, before, after) in enumerate(steps)
    ]


@given(STEPS, st.randoms(use_true_random=False))
def test_late_answers_do_not_bring_an_older_version_back(
    steps: list[tuple[int, float, float]], random: object
) -> None:
    """Guards against sending calls with weights that a replica has replaced."""
    steps = sorted(steps)
    statements = state(steps)
    random.shuffle(statements)  # type: ignore[attr-defined]
    weights = StatedWeights({})
    newest = 0
    for version, span in statements:
        weights.record(MODEL, version, span)
        newest = max(newest, version)
        assert weights.versions[MODEL] == newest


@given(STEPS, st.integers(0, 9), st.randoms(use_true_random=False))
def test_a_later_statement_corrects_any_belief(
    steps: list[tuple[int, float, float]], last: int, random: object
) -> None:
    """Guards against a wrong version of a replica that nothing takes back."""
    statements = state(steps)
    random.shuffle(statements)  # type: ignore[attr-defined]
    weights = StatedWeights({})
    for version, span in statements:
        weights.record(MODEL, version, span)
    after_ms = max((span.end_ms for _, span in statements), default=0.0) + 1.0
    weights.record(MODEL, last, StatedSpan(after_ms, after_ms + 1.0))
    assert weights.versions[MODEL] == last
    for version, span in statements:
        if version > last:
            change = weights.record(MODEL, version, span)
            assert change is WeightsChange.NONE
    assert weights.versions[MODEL] == last


def test_a_word_without_a_request_never_lowers_a_version() -> None:
    weights = StatedWeights({MODEL: 3})
    late = StatedSpan(UNKNOWN_MS, 1_000.0)
    assert weights.record(MODEL, 2, late) is WeightsChange.NONE
    assert weights.record(MODEL, 4, late) is WeightsChange.NEWER
