"""Test parsing what responses of replicas state about the replicas."""

from __future__ import annotations

import pytest

from toucanyard.replica_statements import StatedLoad, StatementKind
from toucanyard_node.http_client import ResponseHead
from toucanyard_platform.answer_statements import (
    read_statement,
    read_weights_version,
)


def build_answer(name: str, *values: str, status: int = 200) -> ResponseHead:
    fields = tuple((name, value) for value in values)
    headers = {name.lower(): value for name, value in fields}
    return ResponseHead(status, headers, fields)


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ((), None),
        (("0.6",), 0.6),
        (("0",), 0.0),
        ((" 12 ",), 12.0),
        (("3", "1.5"), 1.5),
        (("9" * 308,), 1e6),
        (("1" + "0" * 399,), 1e6),
    ],
)
def test_limits_that_replicas_name_are_decoded(
    values: tuple[str, ...], limit_per_s: float | None
) -> None:
    statement = read_statement(build_answer("Server-Limit", *values))
    assert statement.limit_per_s == limit_per_s
    assert not statement.invalid


@pytest.mark.parametrize(
    "value", ["", "-1", "nan", "inf", "1e308", "many", "1,5", "٣", ".", "1" * 500]
)
def test_limits_that_are_no_decimal_numbers_are_told_apart(value: str) -> None:
    """Guards against reading an invalid value as a limit or as the end of one."""
    for values in ((value,), ("2", value)):
        statement = read_statement(build_answer("Server-Limit", *values))
        assert statement.limit_per_s is None
        assert [each.kind for each in statement.invalid] == [StatementKind.LIMIT]
        assert 0 < len(statement.invalid[0].text) <= 40


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503])
def test_leave_is_read_from_responses_of_any_status(status: int) -> None:
    """Guards against responses that state a leave and are not parsed for it."""
    statement = read_statement(build_answer("Server-Leaving", "1", status=status))
    assert statement.is_leaving
    assert statement.has_content()


@pytest.mark.parametrize("values", [(), ("0",), ("",), ("true",), ("2",), ("1, 0",)])
def test_only_a_stated_leave_is_read_as_one(values: tuple[str, ...]) -> None:
    """Guards against taking a replica out of use by a value of no meaning."""
    statement = read_statement(build_answer("Server-Leaving", *values))
    assert not statement.is_leaving
    assert bool(statement.invalid) == (values not in ((), ("0",)))


def test_leave_in_one_of_several_headers_counts() -> None:
    assert read_statement(build_answer("Server-Leaving", "0", " 1 ")).is_leaving


@pytest.mark.parametrize(
    ("values", "retry_after_ms"),
    [
        ((), None),
        (("3",), 3_000.0),
        (("0.25",), 250.0),
        (("0",), 0.0),
        (("1", "2.5"), 2_500.0),
        (("86400",), 60_000.0),
        (("1" + "0" * 399,), 60_000.0),
    ],
)
def test_rest_is_decoded_and_bounded(
    values: tuple[str, ...], retry_after_ms: float | None
) -> None:
    """Guards against a replica that takes itself out of use for a day."""
    statement = read_statement(build_answer("Retry-After", *values, status=503))
    assert statement.retry_after_ms == retry_after_ms
    assert not statement.invalid


@pytest.mark.parametrize(
    "value",
    ["", "-1", "nan", "inf", "1e3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "٣"],
)
def test_rest_that_is_no_decimal_number_is_invalid(value: str) -> None:
    """Guards against reading an invalid time as a rest."""
    for values in ((value,), ("2", value)):
        statement = read_statement(build_answer("Retry-After", *values, status=503))
        assert statement.retry_after_ms is None
        assert [each.kind for each in statement.invalid] == [StatementKind.RETRY_AFTER]


@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_rest_beside_another_status_has_no_effect(status: int) -> None:
    """Guards against pausing a replica that has not turned a call away."""
    statement = read_statement(build_answer("Retry-After", "3", status=status))
    assert statement.retry_after_ms is None
    assert statement.invalid[0].text == f"3 with status {status}"


@pytest.mark.parametrize(
    ("values", "brittle_per_s"),
    [
        ((), None),
        (("3",), 3.0),
        (("0",), 0.0),
        (("5", " 2 "), 2.0),
        (("1" + "0" * 399,), 1e6),
    ],
)
@pytest.mark.parametrize("status", [200, 421, 503])
def test_brittleness_is_read_from_responses_of_any_status(
    values: tuple[str, ...], brittle_per_s: float | None, status: int
) -> None:
    """Guards against rejections that a brittle replica has said it does not bear."""
    statement = read_statement(build_answer("Server-Brittle", *values, status=status))
    assert statement.brittle_per_s == brittle_per_s
    assert statement.has_content() == bool(values)


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e3", "yes", "٣"])
def test_brittleness_that_is_no_decimal_number_is_invalid(value: str) -> None:
    """Guards against reading an invalid value as the end of a brittle time."""
    for values in ((value,), ("2", value)):
        statement = read_statement(build_answer("Server-Brittle", *values))
        assert statement.brittle_per_s is None
        assert [each.kind for each in statement.invalid] == [StatementKind.BRITTLE]


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,0,8", StatedLoad(3, 0, 8)),
        ("3,1,8,100", StatedLoad(3, 1, 8, 1.0)),
        ("0,0,12,55", StatedLoad(0, 0, 12, 0.55)),
        ("12,40,12,300", StatedLoad(12, 40, 12, 3.0)),
        ("0,0,12,0", StatedLoad(0, 0, 12, 0.1)),
        ("0,0,12,999999999", StatedLoad(0, 0, 12, 10.0)),
    ],
)
def test_load_that_replicas_state_is_decoded(value: str, load: StatedLoad) -> None:
    statement = read_statement(build_answer("X-Instance-Load", value))
    assert statement.load == load
    assert statement.has_content() == (load.contention is not None)
    assert not statement.invalid


@pytest.mark.parametrize(
    "value", ["", "3", "3,0", "3,0,8,", "-3,0,8,100", "3,0,8,1e3", "a,b,c", "9" * 500]
)
def test_load_that_is_no_list_of_counts_has_no_effect(value: str) -> None:
    """Guards against placing calls by figures that a replica garbled."""
    statement = read_statement(build_answer("X-Instance-Load", value))
    assert statement.load is None
    assert [each.kind for each in statement.invalid] == [StatementKind.LOAD]


@pytest.mark.parametrize(
    "value", ["", "new", "-1", "1.5", "1,2", "٣", "9" * 17, "9" * 5_000]
)
def test_weights_version_that_is_none_costs_no_answer(value: str) -> None:
    """Guards against a sound answer lost to a version that can't be converted."""
    answer = build_answer("X-Weight-Versions", value)
    assert read_weights_version(answer) is None
    (invalid,) = read_statement(answer).invalid
    assert invalid.kind is StatementKind.WEIGHTS
    assert len(invalid.text) <= 40


def test_weights_version_is_decoded() -> None:
    assert read_weights_version(build_answer("X-Weight-Versions", "12")) == 12
    assert read_weights_version(ResponseHead(200, {})) is None
    assert not read_statement(ResponseHead(200, {})).invalid
