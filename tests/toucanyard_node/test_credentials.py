"""Authentication of callers by API key, including key rotation."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from trio.testing import MockClock

from support.callers import (
    KEY,
    OTHER_KEY,
    ClientServerHarness,
    build_configuration,
    run_client_server_in_memory,
)
from support.engines import ScriptedEngine, Step
from toucanyard.configuration import Configuration, Operator
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard_node.credentials import (
    CustomerIndex,
    compute_key_hash,
    find_bearer_key,
)


def with_keys(*keys: str) -> Configuration:
    """Return the next version, in which the first customer has these keys."""
    before = build_configuration()
    hashes = tuple(compute_key_hash(key) for key in keys)
    first = msgspec.structs.replace(before.customers[0], key_hashes=hashes)
    operator = Operator("ana", (compute_key_hash("key-of-ana"),))
    return msgspec.structs.replace(
        before,
        version=before.version + 1,
        customers=(first, *before.customers[1:]),
        operators=(operator,),
    )


async def find_status(served: ClientServerHarness, key: str) -> int:
    headers = (("Authorization", f"Bearer {key}"),)
    return (await served.ask("GET", "/v1/models", headers)).status


async def test_keys_are_rotated_without_a_cut(autojump_clock: MockClock) -> None:
    """A customer's new key is added, and the old one is removed later.

    Both are accepted between the two versions, afterwards only the new one. A stream
    that was started with the old key continues to its end.
    """
    engine = ScriptedEngine(tuple(f" t{number}" for number in range(20)), Step(gap_s=1))
    async with run_client_server_in_memory([engine]) as served:
        served.core.configuration = with_keys(KEY, "new")
        assert [await find_status(served, key) for key in (KEY, "new")] == [200, 200]
        body = {"model": "model", "prompt": "hola", "stream": True}
        headers = (("Authorization", f"Bearer {KEY}"),)
        stream = await served.open("POST", "/v1/completions", headers, body)
        await stream.read_head()
        served.core.configuration = with_keys("new")
        assert [await find_status(served, key) for key in (KEY, "new")] == [401, 200]
        assert await find_status(served, OTHER_KEY) == 200
        assert (await stream.read_body()).endswith(b"data: [DONE]\n\n")
        await stream.close()


@pytest.mark.parametrize("key", ["key-of-ana", compute_key_hash(KEY), KEY + "x", ""])
async def test_other_keys_are_refused(autojump_clock: MockClock, key: str) -> None:
    """An operator's key, a key's hash as in the configuration, a longer key, none."""
    async with run_client_server_in_memory([]) as served:
        served.core.configuration = with_keys(KEY)
        headers = (("Authorization", f"Bearer {key}"),) if key else ()
        answer = await served.ask("GET", "/v1/models", headers)
        assert answer.status == 401
        assert KEY not in answer.body.decode()


@given(st.text(st.characters(max_codepoint=255), max_size=60))
@settings(max_examples=100)
def test_any_other_header_is_refused(text: str) -> None:
    index, headers = CustomerIndex(), {"authorization": text}
    if find_bearer_key(headers) in (KEY, OTHER_KEY):
        return
    with pytest.raises(RouterError) as caught:
        index.authenticate(build_configuration(), headers)
    assert caught.value.kind is ErrorKind.UNAUTHENTICATED
