"""The public OpenAI client, unmodified, against a server and a stand-in engine."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import openai
import pytest
import trio
from openai.types.chat import ChatCompletionUserMessageParam

from standin_examples import control, start_engine
from support.callers import KEY, ClientServerHarness, ScriptedCore, run_client_server
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import Address
from toucanyard_standins.engine_faults import DieAfterEvents, RefuseRequests

MESSAGES: list[ChatCompletionUserMessageParam] = [{"role": "user", "content": "hola"}]


@asynccontextmanager
async def serve_one() -> AsyncIterator[tuple[ClientServerHarness, Address]]:
    async with trio.open_nursery() as nursery:
        engine = await start_engine(nursery)
        async with run_client_server(ScriptedCore([engine])) as served:
            yield served, engine
        nursery.cancel_scope.cancel()


def open_client(
    served: ClientServerHarness, key: str = KEY, max_retries: int = 0
) -> openai.OpenAI:
    url = f"http://{served.address}/v1"
    return openai.OpenAI(base_url=url, api_key=key, max_retries=max_retries, timeout=30)


def chat(client: openai.OpenAI) -> str:
    answer = client.chat.completions.create(
        model="model", messages=MESSAGES, max_tokens=5
    )
    assert answer.usage is not None
    assert answer.usage.completion_tokens == 5
    return answer.choices[0].message.content or ""


def chat_in_events(client: openai.OpenAI) -> str:
    stream = client.chat.completions.create(
        model="model", messages=MESSAGES, max_tokens=5, stream=True
    )
    return "".join(chunk.choices[0].delta.content or "" for chunk in stream)


def complete_in_events(client: openai.OpenAI) -> str:
    stream = client.completions.create(
        model="model", prompt="hola", max_tokens=5, stream=True
    )
    return "".join(chunk.choices[0].text for chunk in stream)


def complete(client: openai.OpenAI) -> str:
    answer = client.completions.create(model="model", prompt="hola", max_tokens=5)
    return answer.choices[0].text


async def test_same_text_streamed_and_plain() -> None:
    async with serve_one() as (served, _):
        client = open_client(served)
        in_thread = trio.to_thread.run_sync
        text = await in_thread(chat, client)
        assert len(text.split()) == 5
        assert await in_thread(chat_in_events, client) == text
        text = await in_thread(complete, client)
        assert await in_thread(complete_in_events, client) == text
        models = await in_thread(client.models.list)
        assert [each.id for each in models.data] == ["model"]


async def test_refusals_are_the_client_s_errors() -> None:
    async with serve_one() as (served, engine):
        client = open_client(served, "wrong")
        with pytest.raises(openai.AuthenticationError):
            await trio.to_thread.run_sync(chat, client)
        await control(engine, RefuseRequests(is_on=True))
        with pytest.raises(openai.InternalServerError) as caught:
            await trio.to_thread.run_sync(chat, open_client(served))
        assert caught.value.code == "no_endpoint"
        assert caught.value.response.headers["retry-after"] == "1"


async def test_incomplete_stream_is_an_error() -> None:
    """The only engine crashes mid-stream. The client raises an exception."""
    async with serve_one() as (served, engine):
        await control(engine, DieAfterEvents(events=2))
        with pytest.raises(openai.APIError) as caught:
            await trio.to_thread.run_sync(chat_in_events, open_client(served))
        assert caught.value.code == "stream_incomplete"


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        (ErrorKind.CUSTOMER_LIMIT, openai.RateLimitError),
        (ErrorKind.OVERLOADED, openai.InternalServerError),
    ],
)
async def test_client_comes_back_when_told(
    monkeypatch: pytest.MonkeyPatch,
    kind: ErrorKind,
    error: type[openai.APIStatusError],
) -> None:
    """The client retries refusals by itself, twice. It waits for `Retry-After` instead
    of its default half second, and then raises the exception that users expect."""
    waits: list[float] = []
    monkeypatch.setattr(time, "sleep", waits.append)
    core = ScriptedCore([])
    core.is_refusing, core.refusal = True, kind
    async with run_client_server(core) as served:
        client = open_client(served, max_retries=2)
        with pytest.raises(error) as caught:
            await trio.to_thread.run_sync(complete, client)
        assert caught.value.code == kind
        assert waits == [1.0, 1.0]
        assert len(core.requests) == 3


@pytest.mark.parametrize("headers", [{"X-Run-Once": "true"}, {"Idempotency-Key": "k"}])
async def test_client_repeats_nothing_whose_outcome_is_unknown(
    headers: dict[str, str],
) -> None:
    """The engine crashes during a request that may run once: the outcome is unknown.

    The client retries most errors by itself and could run the request a second time
    without its user knowing. The response forbids the retry.
    """
    async with serve_one() as (served, engine):
        await control(engine, DieAfterEvents(events=2))
        client = open_client(served, max_retries=2).with_options(
            default_headers=headers
        )
        with pytest.raises(openai.InternalServerError) as caught:
            await trio.to_thread.run_sync(complete, client)
        assert caught.value.code == "outcome_unknown"
        assert len(served.core.requests) == 1


async def test_refusals_of_bad_calls_are_the_client_s_errors() -> None:
    async with serve_one() as (served, _):
        client = open_client(served)
        with pytest.raises(openai.NotFoundError):
            await trio.to_thread.run_sync(
                lambda: client.completions.create(model="none", prompt="hola")
            )
        with pytest.raises(openai.BadRequestError):
            await trio.to_thread.run_sync(
                lambda: client.completions.create(
                    model="model", prompt="hola", max_tokens=0
                )
            )
