"""HTTP API for clients: node location, model and service calls."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.configuration import Configuration, Customer
from toucanyard.core_events import RequestTurnedAway
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard.names import RequestId, ServiceName
from toucanyard.options import Options
from toucanyard_node.boot_clock import find_now_ms
from toucanyard_node.caller_context import (
    CallerContext,
    build_refusal,
    qualify_keyed_refusal,
)
from toucanyard_node.connection_pool import ConnectionPool
from toucanyard_node.core_messages import CoreClient
from toucanyard_node.credentials import CustomerIndex
from toucanyard_node.drain import DrainState
from toucanyard_node.http_client import Connect, connect
from toucanyard_node.http_exchange import (
    CallerGoneError,
    Headers,
    HttpRequest,
    Responder,
)
from toucanyard_node.http_server import (
    ServerLimits,
)
from toucanyard_node.idle_watch import IdleWatch
from toucanyard_node.locate_response import LocateResponse, NodeIdentity
from toucanyard_node.model_handler import ModelHandler
from toucanyard_node.model_requests import ApiKind
from toucanyard_node.refusals import render_refusal
from toucanyard_node.service_handler import ServiceHandler

_SERVICES: Final = "/v1/services/"
_STREAMS: Final = "/v1/streams/"
_JSON: Final = "application/json"
_LOG: Final = structlog.get_logger()


class ModelEntry(msgspec.Struct, frozen=True):
    """A model name that a customer may use."""

    id: str
    owned_by: str
    object: str = "model"
    created: int = 0


class ModelList(msgspec.Struct, frozen=True):
    """Response body of `GET /v1/models`."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


class ClientServer:
    """Handle requests of callers.

    `run` must be active: it owns the tasks that outlive a caller's connection.
    """

    def __init__(
        self,
        core: CoreClient,
        options: Options,
        identity: NodeIdentity,
        locate: Callable[[bool], LocateResponse],
        drain: DrainState | None = None,
        connect: Connect = connect,
    ) -> None:
        self._core = core
        self._options = options
        self._identity = identity
        self._locate = locate
        self._drain = drain or DrainState()
        self._index = CustomerIndex()
        self._counter = itertools.count()
        self._nursery: trio.Nursery | None = None
        self.pool = ConnectionPool(options.streams, connect)
        self._watch = IdleWatch()
        self._models = ModelHandler(core, options, self.pool, self._watch, self._spawn)
        self._services = ServiceHandler(core, options, self.pool, self._spawn)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the tasks that outlive connections, until cancelled."""
        try:
            async with trio.open_nursery() as outer, trio.open_nursery() as nursery:
                outer.start_soon(self._watch.run)
                self._nursery = nursery
                task_status.started()
                try:
                    await trio.sleep_forever()
                finally:
                    self._nursery = None
        finally:
            await self.pool.close()

    async def wait_idle(self) -> None:
        """Wait until no task is left for a disconnected caller."""
        while self._nursery is not None and self._nursery.child_tasks:
            await trio.sleep(0.02)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        arrived_ms = find_now_ms()
        request_id = self._next_request_id()
        configuration = self._core.find_configuration()
        headers = self._build_headers(request_id, configuration)
        if self._drain.is_draining():
            responder.close_after()
        try:
            if request.path == "/v1/locate":
                await self._send_locate(responder, request, headers)
                return
            customer = self._index.authenticate(configuration, request.headers)
            context = CallerContext(
                request,
                responder,
                request_id,
                customer,
                configuration,
                headers,
                arrived_ms,
            )
            await self._serve(context)
        except RouterError as error:
            await self._refuse(error, request, request_id, responder, headers)
        except CallerGoneError:
            raise
        except Exception:
            _LOG.exception("request_failed", request_id=request_id)
            internal = RouterError(ErrorKind.INTERNAL, "internal error")
            await self._refuse(internal, request, request_id, responder, headers)

    async def _serve(self, context: CallerContext) -> None:
        """Handle a customer's request; record rejections for later explanation."""
        try:
            await self._route(context)
        except RouterError as error:
            refusal = build_refusal(error, context.request_id)
            self._core.report_rejection(
                RequestTurnedAway(
                    context.customer.name,
                    context.configuration.version,
                    qualify_keyed_refusal(refusal, context.http),
                )
            )
            raise

    async def _route(self, context: CallerContext) -> None:
        method, path = context.http.method, context.http.path
        if path.startswith(_SERVICES):
            await self._route_service(context)
            return
        route = self._find_route(context, path)
        if route is None:
            raise RouterError(ErrorKind.NOT_FOUND, f"no path {path!r}")
        allowed, serve = route
        if method != allowed:
            raise RouterError(ErrorKind.METHOD_NOT_ALLOWED, f"expected {allowed}")
        await serve()

    def _find_route(self, context: CallerContext, path: str) -> Route | None:
        """Return the HTTP method and the handler of a path."""
        match path:
            case "/v1/completions" | "/v1/chat/completions":
                api = ApiKind(path)
                return "POST", lambda: self._models.serve(context, api)
            case "/v1/models":
                return "GET", lambda: self._send_models(context)
            case _ if path.startswith(_STREAMS):
                stream_id = path.removeprefix(_STREAMS)
                return "GET", lambda: self._models.resume(context, stream_id)
            case _:
                return None

    async def _route_service(self, context: CallerContext) -> None:
        target = context.http.target.removeprefix(_SERVICES)
        service, slash, path = target.partition("/")
        if not slash:
            raise RouterError(ErrorKind.NOT_FOUND, "expected a path in the service")
        await self._services.serve(context, ServiceName(service), "/" + path)

    async def _send_locate(
        self, responder: Responder, request: HttpRequest, headers: Headers
    ) -> None:
        if request.method != "GET":
            raise RouterError(ErrorKind.METHOD_NOT_ALLOWED, "expected GET")
        prefers_this_node = request.query.get("stay") == "true"
        body = msgspec.json.encode(self._locate(prefers_this_node))
        await responder.send(200, (("Content-Type", _JSON), *headers), body)

    async def _send_models(self, context: CallerContext) -> None:
        names = _find_models(context.configuration, context.customer)
        entries = tuple(ModelEntry(name, "toucanyard") for name in names)
        await context.answer(200, _JSON, msgspec.json.encode(ModelList(entries)))

    async def _refuse(
        self,
        error: RouterError,
        request: HttpRequest,
        request_id: RequestId,
        responder: Responder,
        headers: Headers,
    ) -> None:
        if responder.is_started:
            # The server closes the connection, which shows the response as truncated.
            return
        refusal = qualify_keyed_refusal(build_refusal(error, request_id), request)
        rendered = render_refusal(refusal)
        await responder.send(
            rendered.status, (*rendered.headers, *headers), rendered.body
        )

    def _next_request_id(self) -> RequestId:
        identity = self._identity
        number = next(self._counter)
        return RequestId(f"{identity.name}-{identity.incarnation}-{number}")

    def _build_headers(
        self, request_id: RequestId, configuration: Configuration
    ) -> Headers:
        return (
            ("X-Request-Id", request_id),
            ("X-Node", self._identity.name),
            ("X-Configuration-Version", str(configuration.version)),
        )

    def _spawn(self, work: Callable[[], Awaitable[None]]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(_run_guarded, work)


Route = tuple[str, Callable[[], Awaitable[None]]]


async def _run_guarded(work: Callable[[], Awaitable[None]]) -> None:
    """Run work whose failure must not stop the node."""
    try:
        await work()
    except Exception:
        _LOG.exception("background_task_failed")


def _find_models(configuration: Configuration, customer: Customer) -> list[str]:
    """Return the model names that rules grant to a customer, without duplicates."""
    names: dict[str, None] = {}
    for rule in configuration.rules:
        if not rule.customers or customer.name in rule.customers:
            names[rule.model] = None
    return list(names)


def find_server_limits(options: Options) -> ServerLimits:
    """Return the limits of the HTTP server for clients."""
    limits = options.callers
    return ServerLimits(
        max_connections=limits.max_connections,
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        header_timeout_ms=limits.header_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
        write_timeout_ms=limits.write_timeout_ms,
    )
