from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from toucanyard_standins.deployment import (
    CALLER_KEY,
    OPERATOR_KEY,
    DeploymentSizes,
    start_deployment,
)
from toucanyard_standins.harness import ask, open_harness
from toucanyard_standins.processes import ProcessHandle

PROGRAM = Path(sys.executable).with_name("toucanyard")
Finished = subprocess.CompletedProcess[bytes]
Run = Callable[..., Awaitable[Finished]]


async def run(
    node: ProcessHandle, *arguments: str, key: str = OPERATOR_KEY
) -> Finished:
    role = "callers" if arguments[0] == "locate" else "operators"
    variables = {"TOUCANYARD_KEY": key, "TOUCANYARD_NODE": node.addresses[role]}
    return await trio.run_process(
        [str(PROGRAM), *arguments],
        env={**os.environ, **variables},
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )


async def test_commands_against_two_nodes(tmp_path: Path) -> None:
    # Two operators patch version 1 concurrently through different nodes. One creates
    # version 2, the other gets a conflict that names it, and both nodes show version 2.
    files = [tmp_path / "a.json", tmp_path / "b.json"]
    for file in files:
        put = {"customers": [{"name": file.stem, "key_hashes": []}]}
        file.write_bytes(msgspec.json.encode({"put": put}))
    async with open_harness() as harness:
        deployment = await start_deployment(harness, DeploymentSizes(nodes=2))
        nodes = deployment.nodes
        results: list[Finished] = []

        async def patch(node: ProcessHandle, file: Path) -> None:
            results.append(await run(node, "patch", "--base", "1", str(file)))

        async with trio.open_nursery() as nursery:
            for node, file in zip(nodes, files, strict=True):
                nursery.start_soon(patch, node, file)
        results.sort(key=lambda each: each.returncode)
        assert [each.returncode for each in results] == [0, 3]
        assert b"version 2 is in force, not 1" in results[1].stderr

        for node in nodes:
            ask_node = partial(run, node)
            await wait_for_version(ask_node)
            await check_questions(ask_node)
        answer = await ask(nodes[0].address, "POST", "/v1/completions", CALLER_KEY)
        request_id = answer.headers["x-request-id"]
        explained = await run(nodes[1], "explain", request_id)
        assert explained.returncode == 0
        assert b"refused: bad_request, not_run" in explained.stdout
        missing = await run(nodes[1], "explain", f"{request_id}0", "--json")
        assert missing.returncode == 8
        assert msgspec.json.decode(missing.stdout)["exit_code"] == 8
        assert b"older than the newest" in missing.stdout
        assert (await run(nodes[0], "status", key=CALLER_KEY)).returncode == 7

        assert (await run(nodes[0], "drain")).returncode == 0
        shown = msgspec.json.decode((await run(nodes[0], "status", "--json")).stdout)
        assert shown["is_draining"]


async def wait_for_version(ask_node: Run) -> None:
    with trio.fail_after(10):
        while b'"version":2' not in (await ask_node("show", "--json")).stdout:
            pass


async def check_questions(ask_node: Run) -> None:
    shown = await ask_node("show")
    assert shown.stdout.startswith(b"version 2\n")
    assert shown.stdout.count(b"ferry") == 1
    history = (await ask_node("history")).stdout.splitlines()
    assert [line.split()[0] for line in history] == [b"version", b"1", b"2"]
    assert b"put customers: " in (await ask_node("diff", "1", "2")).stdout
    assert b"engine-0" in (await ask_node("status")).stdout
    assert (await ask_node("stats")).stdout.startswith(b"customer")
    assert (await ask_node("show", "--version", "1", "--json")).returncode == 0
    located = await ask_node("locate", key=CALLER_KEY)
    assert located.stdout.startswith(b"use node-")
