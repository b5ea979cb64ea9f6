"""What the command line says and which status it ends with, whatever nodes answer."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from toucanyard.names import Address
from toucanyard_cli import access
from toucanyard_cli.main import main
from toucanyard_node.http_client import ConnectionFailedError, Headers, Response

A, B = "10.0.0.1:81", "10.0.0.2:81"
NOT_SENT = ConnectionFailedError("refused", is_sent=False)
LOST = ConnectionFailedError("no answer", is_sent=True)
Answer = Response | ConnectionFailedError
Asked = list[tuple[str, str, bytes]]
Run = Callable[..., Result]


def answer(status: int, body: object) -> Response:
    return Response(status, {}, msgspec.json.encode(body))


def refusal(status: int, code: str) -> Response:
    return answer(status, {"error": {"code": code, "message": "why"}})


def patched(status: int, error: str | None, version: int = 8) -> Response:
    body = {"patch_id": "p", "version": version, "error": error, "text": "why"}
    return answer(status, body)


@pytest.fixture
def asked() -> Asked:
    return []


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch, asked: Asked) -> Run:
    def run(arguments: str, *answers: Answer, key: str = "k") -> Result:
        waiting = list(answers)

        async def fetch(
            address: Address,
            method: str,
            target: str,
            headers: Headers,
            body: bytes,
            timeout_ms: float,
        ) -> Response:
            asked.append((address, f"{method} {target}", body))
            found = waiting.pop(0)
            if isinstance(found, ConnectionFailedError):
                raise found
            return found

        monkeypatch.setattr(access, "fetch", fetch)
        environment = {"TOUCANYARD_KEY": key, "TOUCANYARD_NODE": f"{A} {B}"}
        return CliRunner().invoke(main, arguments.split(), env=environment)

    return run


@pytest.fixture
def patch_file(tmp_path: Path) -> str:
    file = tmp_path / "patch.json"
    file.write_text('{"put": {}} // nothing')
    return str(file)


@pytest.mark.parametrize(
    ("answers", "status", "text"),
    [
        ([patched(200, None)], 0, "version 8"),
        ([patched(409, "patch_conflict")], 3, "version 8 is in force, not 7"),
        ([patched(422, "patch_invalid")], 4, "why"),
        ([patched(502, "outcome_unknown")], 5, "--patch-id p"),
        ([NOT_SENT, NOT_SENT], 6, "refused"),
        ([NOT_SENT, patched(200, None)], 0, "version 8"),
        ([refusal(401, "unauthenticated")], 7, "why"),
        ([patched(503, "stale_configuration"), patched(200, None)], 0, "version 8"),
        ([patched(503, "log_unavailable")] * 2, 9, "log_unavailable: why"),
        ([refusal(500, "internal")], 1, "why"),
        ([answer(200, "what?")], 5, "--patch-id"),
    ],
)
def test_status_of_a_patch(
    run: Run, patch_file: str, answers: list[Answer], status: int, text: str
) -> None:
    result = run(f"patch --base 7 {patch_file}", *answers)
    assert (result.exit_code, text in result.output) == (status, True), result.output
    result = run(f"patch --base 7 --json {patch_file}", *answers)
    assert result.exit_code == status
    assert isinstance(msgspec.json.decode(result.stdout), dict)


def test_lost_answer_is_settled_under_the_same_id(
    run: Run, patch_file: str, asked: Asked
) -> None:
    # The first node takes the patch and its answer is lost. The second is asked with
    # the same id, so that the patch can't be applied twice.
    result = run(f"patch --base 7 {patch_file}", LOST, patched(200, None))
    assert result.exit_code == 0
    assert [address for address, _, _ in asked] == [A, B]
    assert asked[0][2] == asked[1][2]


@pytest.mark.parametrize("second", [NOT_SENT, patched(503, "log_unavailable")])
def test_a_patch_that_may_be_in_force_is_never_called_undone(
    run: Run, patch_file: str, asked: Asked, second: Answer
) -> None:
    # The first node took the patch; the second can tell nothing. "Not reachable" or
    # "unavailable" would say that nothing was done.
    result = run(f"patch --base 7 {patch_file}", LOST, second)
    assert result.exit_code == 5
    patch_id = msgspec.json.decode(asked[0][2])["patch_id"]
    assert f"--patch-id {patch_id}" in result.stderr
    run(f"patch --base 7 --patch-id {patch_id} {patch_file}", patched(200, None))
    assert asked[-1][2] == asked[0][2]


def test_drain_is_asked_of_one_node_only(run: Run, asked: Asked) -> None:
    # Asked in turn, the second node would be stopped because the first was gone.
    assert run("drain").exit_code == 2
    assert asked == []
    assert run(f"drain --node {B}", answer(202, {})).exit_code == 0
    assert asked == [(B, "POST /drain", b"")]
    assert run(f"drain --node {B}", LOST).exit_code == 5
    assert run(f"drain --node {B}", NOT_SENT).exit_code == 6


@pytest.mark.parametrize(
    ("arguments", "key"),
    [
        ("status", ""),
        ("status", "two words"),
        ("status", "line\nbreak"),
        ("status --node example.org:81", "k"),
        ("status --key-file /nowhere", "k"),
        ("patch --base -1 f", "k"),
        ("patch --base 1 /nowhere", "k"),
        ("show --version x", "k"),
        ("unknown", "k"),
    ],
)
def test_usage_ends_with_2_and_asks_nobody(
    run: Run, asked: Asked, arguments: str, key: str
) -> None:
    assert run(arguments, key=key).exit_code == 2
    assert asked == []


def test_questions_go_to_the_next_node(run: Run, asked: Asked) -> None:
    history = {"version": 0, "entries": []}
    assert run("history", LOST, answer(200, history)).exit_code == 0
    assert run("history", LOST, NOT_SENT).exit_code == 6
    assert run("explain a/b?c", refusal(404, "not_found")).exit_code == 8
    assert asked[-1][1] == "GET /explain/a/b%3Fc"
    assert run("stats", answer(200, [])).exit_code == 1


def test_locate_on_the_operators_address_says_which_one_it_takes(run: Run) -> None:
    result = run("locate", refusal(404, "not_found"))
    assert result.exit_code == 8
    assert "not an address for callers" in result.output


def test_rest_of_the_customers_has_a_line_of_its_own(run: Run) -> None:
    quantiles = {"count": 1, "p50": 1.0, "p95": 1.0, "p99": 1.0, "max": 1.0}
    rest = {
        "customer": "",
        "priority": "chat",
        **dict.fromkeys(
            ("first_token_ms", "token_gap_ms", "recomputed_tokens"), quantiles
        ),
        "prompt_tokens": 9,
        "cached_tokens": 3,
        "hit_rate": 0.3,
        "answers": 7,
        "is_rest": True,
    }
    result = run("stats", answer(200, {"groups": [rest], "refusals": []}))
    assert result.exit_code == 0
    assert "(all others)  chat   7" in result.output


@pytest.mark.parametrize("name", main.commands)
def test_every_command_has_help_and_json(run: Run, name: str) -> None:
    result = run(f"{name} --help")
    assert result.exit_code == 0
    assert "--json" in result.output
    assert ("--key " in result.output) is False
