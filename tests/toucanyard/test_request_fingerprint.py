from __future__ import annotations

from itertools import combinations

from hypothesis import given, strategies as st

from toucanyard.names import CustomerName
from toucanyard.request_fingerprint import compute_fingerprint

TEXT = st.text(max_size=20)
FIELDS = st.tuples(TEXT, TEXT, TEXT, TEXT, st.binary(max_size=20))


def compute(fields: tuple[str, str, str, str, bytes]) -> str:
    method, host, target, customer, body = fields
    return compute_fingerprint(method, host, target, CustomerName(customer), body)


def test_repeat_under_another_spelling_of_the_host_is_the_same() -> None:
    one = compute(("POST", "H.example:80", "/a/x", "c", b"body"))
    assert one == compute(("POST", "h.example", "/a/x", "c", b"body"))


def test_each_field_tells_requests_apart() -> None:
    base = ("POST", "h", "/a/x", "c", b"body")
    changes = ("GET", "g", "/a/x?q=1", "d", b"bodz")
    seen = [compute(base)]
    for number, change in enumerate(changes):
        seen.append(compute((*base[:number], change, *base[number + 1 :])))  # type: ignore[arg-type]
    assert all(one != other for one, other in combinations(seen, 2))


@given(FIELDS, FIELDS)
def test_bytes_that_move_between_fields_make_another_request(
    one: tuple[str, str, str, str, bytes], other: tuple[str, str, str, str, bytes]
) -> None:
    def normalise(fields: tuple[str, str, str, str, bytes]) -> tuple[object, ...]:
        return (fields[0], fields[1].partition(":")[0].lower(), *fields[2:])

    is_same = normalise(one) == normalise(other)
    assert (compute(one) == compute(other)) == is_same
