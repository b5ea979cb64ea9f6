"""Handle calls of plain services."""

from __future__ import annotations

from typing import Final

import msgspec
import trio

from toucanyard.configuration import PriorityClass, Service
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard.names import ServiceName
from toucanyard.options import Options
from toucanyard.requests import (
    CachedAnswer,
    Dispatch,
    DispatchEnding,
    Outcome,
    Refuse,
    Repeatability,
    Replay,
    Request,
    ServiceTarget,
)
from toucanyard_node.attempts import Attempts
from toucanyard_node.caller_context import (
    CallerContext,
)
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.core_messages import CoreClient
from toucanyard_node.exchange import (
    DispatchFailedError,
    check_response_id,
    find_incarnation,
    is_refusal_without_id,
)
from toucanyard_node.http_client import (
    ConnectionFailedError,
    Headers,
    HttpConnection,
    Response,
)
from toucanyard_node.shielded import Spawn, run_shielded

_SAFE_METHODS: Final = ("GET", "HEAD")
_TOO_MANY_REQUESTS: Final = 429
_FORWARDED_HEADERS: Final = (
    "content-type",
    "accept",
    "accept-language",
    "idempotency-key",
)

Result = Refuse | Replay | Response


class ServiceCall(msgspec.Struct, frozen=True):
    """Request that is sent to a service."""

    method: str
    target: str
    headers: Headers
    body: bytes


def find_call_repeatability(service: Service, method: str, path: str) -> Repeatability:
    """Return how often a call may run, as declared by operators."""
    if method in _SAFE_METHODS:
        return Repeatability.REPEATABLE
    for entry in service.repeatable_calls:
        allowed, _, prefix = entry.partition(" ")
        if allowed == method and path.startswith(prefix):
            return Repeatability.REPEATABLE
    return Repeatability.RUN_ONCE


class ServiceHandler:
    """Handle service calls."""

    __slots__ = ("_core", "_options", "_pool", "_spawn")

    def __init__(
        self, core: CoreClient, options: Options, pool: ConnectionPool, spawn: Spawn
    ) -> None:
        self._core = core
        self._options = options
        self._pool = pool
        self._spawn = spawn

    async def serve(
        self, context: CallerContext, service: ServiceName, target: str
    ) -> None:
        """Handle one call; `target` is the path and query sent to the service."""
        found = context.configuration.find_service(service)
        if found is None:
            raise RouterError(ErrorKind.NOT_FOUND, f"no service {service!r}")
        method, path = context.http.method, target.partition("?")[0]
        request = context.build_request(
            ServiceTarget(found.name, method, path),
            PriorityClass.CALL,
            find_call_repeatability(found, method, path),
            self._options.callers,
        )
        call = _build_call(context, target)
        exchange = ServiceExchange(self._core, self._pool, request, call)
        await context.send_result(await self._run_until_deadline(exchange))

    async def _run_until_deadline(self, exchange: ServiceExchange) -> Result:
        attempts = exchange.attempts
        is_keyed = attempts.request.repeatability is Repeatability.KEYED
        try:
            with trio.CancelScope(deadline=attempts.request.deadline_ms / 1000):
                if is_keyed:
                    return await run_shielded(
                        self._spawn, exchange.run, _discard_result
                    )
                return await exchange.run()
            refusal = attempts.build_deadline_refusal()
        except trio.Cancelled:
            if not is_keyed:
                exchange.abort()
            raise
        if not is_keyed:
            exchange.abort()
        return refusal


class ServiceExchange:
    """One service call and its dispatches."""

    __slots__ = ("_call", "_connection", "_core", "_dispatch", "_pool", "attempts")

    def __init__(
        self,
        core: CoreClient,
        pool: ConnectionPool,
        request: Request,
        call: ServiceCall,
    ) -> None:
        self._core = core
        self._pool = pool
        self._call = call
        self._connection: HttpConnection | None = None
        self._dispatch: Dispatch | None = None
        self.attempts = Attempts(core, request)

    async def run(self) -> Result:
        """Dispatch until there is a response or a final refusal."""
        try:
            return await self._run()
        except Exception:
            # An internal error must not leave the request's slot occupied forever.
            self.abort()
            raise

    async def _run(self) -> Result:
        verdict = await self._core.decide(self.attempts.request)
        while isinstance(verdict, Dispatch):
            self._dispatch = verdict
            self.attempts.start_attempt()
            try:
                return await self._dispatch_once(verdict)
            except DispatchFailedError as error:
                self._dispatch = None
                verdict = await self.attempts.report_failure(
                    verdict, error.ending, error.text
                )
        if isinstance(verdict, Refuse):
            return self.attempts.check_refusal(verdict)
        return verdict

    def abort(self) -> None:
        """Report to the core that nobody waits for the response."""
        if self._dispatch is None:
            return
        outcome = self._build_outcome(self._dispatch, DispatchEnding.CANCELLED)
        self.attempts.report_end(outcome)

    async def _dispatch_once(self, dispatch: Dispatch) -> Response:
        """Perform one dispatch, or raise DispatchFailedError."""
        is_reused = False
        try:
            connection, is_reused = await self._acquire(dispatch)
        except ConnectionFailedError as error:
            raise DispatchFailedError(DispatchEnding.NOT_SENT, str(error)) from error
        try:
            return await self._exchange(dispatch, connection, is_reused)
        except ConnectionFailedError as error:
            if not error.is_sent:
                raise DispatchFailedError(
                    DispatchEnding.NOT_SENT, str(error)
                ) from error
            raise DispatchFailedError(DispatchEnding.LOST, str(error)) from error
        finally:
            # The pool closes the connection unless the response was read completely: a
            # late response must never be taken for that of another call.
            await self._pool.release(connection)

    async def _acquire(self, dispatch: Dispatch) -> tuple[HttpConnection, bool]:
        if self.attempts.is_repeatable():
            return await self._pool.acquire(dispatch.address)
        return await self._pool.open(dispatch.address), False

    async def _exchange(
        self, dispatch: Dispatch, connection: HttpConnection, is_reused: bool
    ) -> Response:
        call = self._call
        self.attempts.record_send()
        await connection.send(call.method, call.target, call.headers, call.body)
        head = await connection.read_head()
        if not is_refusal_without_id(head) or is_reused:
            check_response_id(head, self.attempts.request.request_id)
        body = await connection.read_body()
        # An engine's refusal proves that nothing ran. A service's does not: it may
        # return 503 after a write. For a call that may run once, that response is
        # therefore final; the call is never retried or reported as "not run".
        is_failure = head.status >= 500 or head.status == _TOO_MANY_REQUESTS
        if is_failure and self.attempts.is_repeatable():
            raise DispatchFailedError(DispatchEnding.FAILED, f"status {head.status}")
        content_type = head.headers.get("content-type", "application/octet-stream")
        outcome = self._build_outcome(dispatch, DispatchEnding.COMPLETED)
        self.attempts.report_end(
            msgspec.structs.replace(
                outcome,
                incarnation=find_incarnation(head),
                answer=self._select_cached_answer(
                    CachedAnswer(head.status, content_type, body)
                ),
            )
        )
        self._dispatch = None
        return Response(head.status, {"content-type": content_type}, body)

    def _select_cached_answer(self, answer: CachedAnswer) -> CachedAnswer | None:
        is_keyed = self.attempts.request.repeatability is Repeatability.KEYED
        return answer if is_keyed else None

    def _build_outcome(self, dispatch: Dispatch, ending: DispatchEnding) -> Outcome:
        return Outcome(
            self.attempts.request.request_id,
            dispatch.endpoint,
            ending,
            duration_ms=self.attempts.find_elapsed_ms(),
        )


def _build_call(context: CallerContext, target: str) -> ServiceCall:
    http = context.http
    forwarded = tuple(
        (name, http.headers[name])
        for name in _FORWARDED_HEADERS
        if name in http.headers
    )
    named = (
        ("X-Request-Id", str(context.request_id)),
        ("X-Customer", str(context.customer.name)),
    )
    return ServiceCall(http.method, target, (*named, *forwarded), http.body)


async def _discard_result(_: Result) -> None:
    """Discard a response; the core has stored it for the next attempt."""
