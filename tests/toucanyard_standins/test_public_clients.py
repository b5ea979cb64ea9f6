"""Tests of unmodified public clients against node and engine processes."""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import openai
import pytest
import trio

from toucanyard_standins.bench_path import build_options
from toucanyard_standins.deployment import (
    CALLER_KEY,
    MODEL,
    Deployment,
    DeploymentSizes,
    start_deployment,
)
from toucanyard_standins.engine_faults import EngineCounters, RefuseRequests
from toucanyard_standins.harness import Harness, open_harness

TOKENS = 5
ENGINE = ("--decode-step-ms", "5", "--decode-ms-per-sequence", "0")
PATHS = ("/v1/completions", "/v1/chat/completions")


@asynccontextmanager
async def run_one() -> AsyncIterator[tuple[Harness, Deployment]]:
    sizes = DeploymentSizes(1, 1, 0, ENGINE, options=build_options())
    async with open_harness() as harness:
        yield harness, await start_deployment(harness, sizes)


def open_client(deployment: Deployment) -> openai.OpenAI:
    url = f"http://{deployment.nodes[0].address}/v1"
    return openai.OpenAI(base_url=url, api_key=CALLER_KEY, max_retries=0, timeout=30)


def use_client(client: openai.OpenAI) -> None:
    """Send all four kinds of requests; streamed and plain texts must be equal."""
    complete, chat = client.completions.create, client.chat.completions.create
    plain = complete(model=MODEL, prompt="hola", max_tokens=TOKENS)
    events = complete(model=MODEL, prompt="hola", max_tokens=TOKENS, stream=True)
    text = "".join(chunk.choices[0].text for chunk in events)
    assert text == plain.choices[0].text
    assert len(text.split()) == TOKENS
    words = chat(
        model=MODEL,
        messages=[{"role": "user", "content": "hola"}],
        max_tokens=TOKENS,
    )
    parts = chat(
        model=MODEL,
        messages=[{"role": "user", "content": "hola"}],
        max_tokens=TOKENS,
        stream=True,
    )
    text = "".join(part.choices[0].delta.content or "" for part in parts)
    assert text == words.choices[0].message.content
    assert len(text.split()) == TOKENS


async def test_openai_client() -> None:
    """The client gets each answer and raises its own error if all engines refuse."""
    async with run_one() as (harness, deployment):
        client = open_client(deployment)
        await trio.to_thread.run_sync(use_client, client)
        await harness.control(deployment.engines[0], RefuseRequests(is_on=True))
        with pytest.raises(openai.InternalServerError) as caught:
            await trio.to_thread.run_sync(use_client, client)
        assert caught.value.status_code == 503
        assert int(caught.value.response.headers["retry-after"]) >= 1


def build_curl(
    deployment: Deployment, path: str, tokens: int, is_stream: bool
) -> list[str]:
    """Return the curl command of one request."""
    request: dict[str, object] = {"model": MODEL, "max_tokens": tokens}
    if path == PATHS[0]:
        request["prompt"] = "hola"
    else:
        request["messages"] = [{"role": "user", "content": "hola"}]
    body = msgspec.json.encode(request | {"stream": is_stream}).decode()
    url = f"http://{deployment.nodes[0].address}{path}"
    key = f"Authorization: Bearer {CALLER_KEY}"
    return ["curl", "-N", "--silent", "--header", key, "--data", body, url]


@pytest.mark.skipif(shutil.which("curl") is None, reason="curl is not installed")
@pytest.mark.parametrize("path", PATHS)
async def test_curl(path: str) -> None:
    """`curl -N` gets complete answers, plain and streamed, and events without delay:
    the first one arrives long before the end of the stream."""
    async with run_one() as (harness, deployment):
        command = build_curl(deployment, path, TOKENS, is_stream=False)
        plain = await trio.run_process(command, capture_stdout=True)
        (choice,) = msgspec.json.decode(plain.stdout)["choices"]
        assert choice["finish_reason"] == "length"
        command = build_curl(deployment, path, TOKENS, is_stream=True)
        events = await trio.run_process(command, capture_stdout=True)
        assert events.stdout.endswith(b"data: [DONE]\n\n")
        assert events.stdout.count(b"data: {") == TOKENS + 1
        command = build_curl(deployment, path, 100_000, is_stream=True)
        process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
        assert process.stdout is not None
        received = b""
        while b"data: {" not in received:
            part = await process.stdout.receive_some()
            assert part
            received += part
        process.terminate()
        await process.wait()
        with trio.fail_after(30):
            while not await is_cancelled(harness, deployment):
                await trio.sleep(0.02)


async def is_cancelled(harness: Harness, deployment: Deployment) -> bool:
    counters = await harness.read_counters(deployment.engines[0], EngineCounters)
    return counters.cancelled == 1
