"""The shared state of one scenario: processes, requests and responses."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from portal import Portal
from toucanyard.names import Address
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    Response,
    connect,
)
from toucanyard_standins.deployment import (
    CALLER_KEY,
    MODEL,
    OPERATOR_KEY,
    Deployment,
    DeploymentSizes,
    start_deployment,
)
from toucanyard_standins.harness import Harness, ask
from toucanyard_standins.plain_service import ServiceCounters
from toucanyard_standins.processes import ProcessHandle

TIMEOUT_S = 30.0
"""The timeout of each wait in a scenario; scenarios don't assert times."""
LOG_TAIL = 3_000


class RequestResult(msgspec.Struct):
    """The result of one request."""

    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = {}
    is_whole: bool = False
    is_over: bool = False
    error: str = ""

    def find_ending(self) -> str:
        """Return the ending of a refusal, or "answered"."""
        if self.status == 200:
            return "answered"
        body = msgspec.json.decode(self.body)
        return str(body["error"]["ending"])


class World:
    def __init__(self, portal: Portal, harness: Harness) -> None:
        self.portal = portal
        self.harness = harness
        self.deployment: Deployment
        self.results: list[RequestResult] = []

    def start(self, sizes: DeploymentSizes) -> None:
        self.deployment = self.portal.call(start_deployment, self.harness, sizes)

    def print_logs(self) -> None:
        for handle in self.harness.list_started():
            print(f"--- {handle.name}\n{handle.read_log()[-LOG_TAIL:]}")

    def find_node(self, number: int) -> ProcessHandle:
        return self.deployment.nodes[number - 1]

    def find_process(self, name: str) -> ProcessHandle:
        handles = self.harness.list_started()
        return next(handle for handle in handles if handle.name == name)

    def ask_node(
        self,
        number: int,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
    ) -> RequestResult:
        """Send one request and wait for its end."""
        result = self._add_result()
        address = self.find_node(number).address
        self.portal.call(request, address, method, target, body, headers, result)
        return result

    def begin_request(
        self, number: int, method: str, target: str, body: bytes, headers: Headers = ()
    ) -> RequestResult:
        """Send one request that continues during later steps."""
        result = self._add_result()
        address = self.find_node(number).address
        self.portal.spawn(request, address, method, target, body, headers, result)
        return result

    def _add_result(self) -> RequestResult:
        result = RequestResult()
        self.results.append(result)
        return result

    def ask_operator(self, number: int, target: str) -> Response:
        address = self.find_node(number).addresses["operators"]
        return self.portal.call(ask, address, "GET", target, OPERATOR_KEY)

    def find_version(self, number: int) -> int:
        answer = self.ask_operator(number, "/status")
        return int(msgspec.json.decode(answer.body)["version"])

    def count_peers(self, number: int) -> int:
        answer = self.ask_operator(number, "/status")
        return len(msgspec.json.decode(answer.body)["peers"])

    def wait_for(self, what: str, is_true: Callable[[], bool]) -> None:
        """Wait until a condition holds; fail after a long timeout."""

        async def wait() -> None:
            with trio.move_on_after(TIMEOUT_S):
                while not await trio.to_thread.run_sync(is_true):
                    await trio.sleep(0.05)
                return
            raise AssertionError(f"did not happen: {what}")

        self.portal.call(wait)

    def count_holds(self, key: str) -> int:
        """Return how often the plain services executed calls of one key."""
        return sum(
            self.portal.call(
                self.harness.read_counters, service, ServiceCounters
            ).by_key.get(key, 0)
            for service in self.deployment.services
        )


async def request(
    address: str,
    method: str,
    target: str,
    body: bytes,
    headers: Headers,
    result: RequestResult,
) -> None:
    """Send one request and record the response chunk by chunk."""
    try:
        connection = await connect(Address(address), 5_000)
        try:
            named = (("Authorization", f"Bearer {CALLER_KEY}"), *headers)
            await connection.send(method, target, named, body)
            head = await connection.read_head()
            result.status, result.headers = head.status, head.headers
            while (part := await connection.read_body_chunk()) is not None:
                result.body += part
            result.is_whole = True
        finally:
            await connection.close()
    except ConnectionFailedError as error:
        result.error = str(error)
    finally:
        result.is_over = True


def build_completion(prompt: str, max_tokens: int, is_stream: bool) -> bytes:
    return msgspec.json.encode(
        {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": is_stream,
        }
    )
