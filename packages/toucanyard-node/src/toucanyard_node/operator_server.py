"""HTTP API for operators: patches, versions, explanations, status, statistics, drain.

Reads the core's state between two events, which is safe because both run in one thread
and reads never await; all changes go through the core's inbox.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
import structlog
import trio

from toucanyard.configuration import Configuration
from toucanyard.core_events import PatchSubmitted
from toucanyard.errorcodes import ErrorKind, RouterError
from toucanyard.explanations import MAX_RECORDS
from toucanyard.names import RequestId
from toucanyard.options import Options
from toucanyard.patches import Patch, find_owners
from toucanyard_node.caller_context import build_refusal
from toucanyard_node.configuration_diff import compute_diff
from toucanyard_node.core_task import CoreTask
from toucanyard_node.credentials import (
    check_configuration_available,
    compute_key_hash,
    find_bearer_key,
)
from toucanyard_node.drain import DrainState
from toucanyard_node.http_client import ConnectionFailedError, fetch
from toucanyard_node.http_exchange import (
    CallerGoneError,
    HttpRequest,
    Responder,
)
from toucanyard_node.operator_messages import (
    EndpointStatus,
    HistoryReply,
    PatchBody,
    PatchReply,
    StatusReply,
    VersionReply,
)
from toucanyard_node.refusals import render_refusal
from toucanyard_node.statistics_response import collect_statistics

_JSON: Final = (("Content-Type", "application/json"),)
_EXPLAIN: Final = "/explain/"
_FORWARDED_BY_HEADER: Final = "x-forwarded-by"
_PATCH_DEADLINE_MS: Final = 10_000
_PATCH_STATUSES: Final[dict[ErrorKind | None, int]] = {
    None: 200,
    ErrorKind.PATCH_CONFLICT: 409,
    ErrorKind.PATCH_INVALID: 422,
    ErrorKind.OUTCOME_UNKNOWN: 502,
}
_UNAVAILABLE: Final = 503
_MAX_DIGITS: Final = 18
_MAX_EXPLANATION_BYTES: Final = 1_000_000
_LOG: Final = structlog.get_logger()


class OperatorServer:
    """Handle requests of operators."""

    def __init__(self, task: CoreTask, options: Options, drain: DrainState) -> None:
        self._task = task
        self._core = task.core
        self._options = options
        self._drain = drain

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        try:
            operator = self._authenticate(request)
            serve = self._find_route(request, operator)
            status, body = await serve()
            await responder.send(status, _JSON, body)
        except RouterError as error:
            await _refuse(error, responder)
        except CallerGoneError:
            raise
        except Exception:
            _LOG.exception("operator_request_failed", path=request.path[:200])
            if not responder.is_started:
                internal = RouterError(ErrorKind.INTERNAL, "internal error")
                await _refuse(internal, responder)

    def _authenticate(self, request: HttpRequest) -> str:
        """Return the operator's name, or raise RouterError."""
        key = find_bearer_key(request.headers)
        if not key:
            raise RouterError(ErrorKind.UNAUTHENTICATED, "no bearer API key")
        key_hash = compute_key_hash(key)
        configuration = self._core.configuration
        operator = configuration.find_operator_by_hash(key_hash)
        if operator is not None:
            return operator.name
        is_first = not configuration.operators
        if is_first and key_hash in self._options.bootstrap_operator_hashes:
            return "bootstrap"
        check_configuration_available(configuration)
        if configuration.find_customer_by_hash(key_hash) is not None:
            raise RouterError(
                ErrorKind.FORBIDDEN, "a customer's key, not an operator's"
            )
        raise RouterError(ErrorKind.UNAUTHENTICATED, "unknown API key")

    def _find_route(
        self, request: HttpRequest, operator: str
    ) -> Callable[[], Awaitable[tuple[int, bytes]]]:
        match request.method, request.path:
            case "POST", "/patches":
                return lambda: self._patch(request, operator)
            case "POST", "/drain":
                return self._begin_drain
            case "GET", "/configuration":
                return lambda: self._get_configuration(request)
            case "GET", "/history":
                return self._history
            case "GET", "/diff":
                return lambda: self._diff(request)
            case "GET", "/status":
                return self._status
            case "GET", "/stats":
                return self._statistics
            case "GET", path if path.startswith(_EXPLAIN):
                return lambda: self._explain(request)
            case _, path:
                raise RouterError(ErrorKind.NOT_FOUND, f"no {request.method} {path!r}")

    async def _patch(self, request: HttpRequest, operator: str) -> tuple[int, bytes]:
        try:
            body = msgspec.json.decode(request.body, type=PatchBody)
        except msgspec.DecodeError as error:
            raise RouterError(ErrorKind.BAD_REQUEST, str(error)) from error
        patch = Patch(body.patch_id, body.base, operator, body.put, body.remove)
        deadline_ms = trio.current_time() * 1000 + _PATCH_DEADLINE_MS
        answer = await self._task.submit_patch(PatchSubmitted(patch, deadline_ms))
        _LOG.info(
            "patch_answered",
            patch_id=answer.patch_id,
            operator=operator,
            base=patch.base,
            version=answer.version,
            error=answer.error,
        )
        status = _PATCH_STATUSES.get(answer.error, _UNAVAILABLE)
        reply = PatchReply(answer.patch_id, answer.version, answer.error, answer.text)
        return status, msgspec.json.encode(reply)

    async def _begin_drain(self) -> tuple[int, bytes]:
        self._drain.begin()
        return 202, b"{}"

    async def _get_configuration(self, request: HttpRequest) -> tuple[int, bytes]:
        configuration = self._find_version(request, "version")
        return 200, msgspec.json.encode(VersionReply(configuration))

    async def _history(self) -> tuple[int, bytes]:
        log = self._core.log
        reply = HistoryReply(log.configuration.version, log.history)
        return 200, msgspec.json.encode(reply)

    async def _diff(self, request: HttpRequest) -> tuple[int, bytes]:
        old = self._find_version(request, "from")
        new = self._find_version(request, "to")
        return 200, msgspec.json.encode(compute_diff(old, new))

    async def _statistics(self) -> tuple[int, bytes]:
        collector = self._core.flow.records.statistics
        return 200, msgspec.json.encode(await collect_statistics(collector))

    async def _status(self) -> tuple[int, bytes]:
        now_ms = trio.current_time() * 1000
        core = self._core
        reply = StatusReply(
            node=core.identity.node,
            incarnation=core.identity.incarnation,
            domain=self._options.domain,
            version=core.configuration.version,
            is_current=core.log.is_current(now_ms),
            confirmed_age_ms=core.log.find_confirmed_age_ms(now_ms),
            is_draining=self._drain.is_draining(),
            is_self_suspect=core.membership.is_self_suspect(now_ms),
            log_offset=core.log.next_offset,
            unknown_record_kinds=core.log.counts.unknown_kinds,
            divergent_peers=tuple(sorted(core.synchronizer.divergent)),
            pending_requests=core.flow.count_pending(),
            queued_requests=core.admission.count_queued(),
            keys=core.claims.count_keys(),
            claims=core.claims.count_claims(),
            duties=tuple(
                lease.pool for lease in core.order_runner.leases.find_held(now_ms)
            ),
            peers=core.find_linked(),
            vms=core.membership.vms,
            endpoints=self._list_endpoints(now_ms),
        )
        return 200, msgspec.json.encode(reply)

    def _list_endpoints(self, now_ms: float) -> tuple[EndpointStatus, ...]:
        core = self._core
        condemned = set(core.membership.find_condemned(now_ms))
        listed: list[EndpointStatus] = []
        for owner in find_owners(core.configuration):
            usable = core.membership.find_usable(owner.endpoints, now_ms)
            names = {each.name for each in usable}
            listed += [
                EndpointStatus(
                    name=each.name,
                    owner=owner.name,
                    address=each.address,
                    domain=each.domain,
                    is_usable=each.name in names,
                    is_leaving=core.membership.is_leaving(each, now_ms),
                    is_condemned=each.name in condemned,
                    incarnation=core.membership.find_incarnation(each.name),
                    weights_version=core.directory.find_weights(each.name),
                )
                for each in owner.endpoints
            ]
        return tuple(listed)

    async def _explain(self, request: HttpRequest) -> tuple[int, bytes]:
        request_id = RequestId(request.path.removeprefix(_EXPLAIN))
        record = self._core.flow.records.explanations.find(request_id)
        if record is not None:
            return 200, msgspec.json.encode(record)
        return await self._forward_explain(request, request_id)

    async def _forward_explain(
        self, request: HttpRequest, request_id: RequestId
    ) -> tuple[int, bytes]:
        """Forward to the node named in the id, which checks the key itself."""
        node_name = request_id.rsplit("-", 2)[0]
        text = self._describe_missing(request_id)
        nodes = {vm.name: vm.operators for vm in self._core.membership.vms}
        address = nodes.get(node_name)
        # A forwarded request is never forwarded again, or nodes with different VM
        # lists could forward it in a loop.
        is_own = node_name == self._options.name
        if not address or is_own or _FORWARDED_BY_HEADER in request.headers:
            raise RouterError(ErrorKind.NOT_FOUND, text)
        headers = (
            ("Authorization", request.headers["authorization"]),
            ("X-Forwarded-By", self._options.name),
        )
        try:
            answer = await fetch(
                address,
                "GET",
                request.target,
                headers,
                max_bytes=_MAX_EXPLANATION_BYTES,
            )
        except ConnectionFailedError as error:
            raise RouterError(
                ErrorKind.ENDPOINT_FAILED, f"node {node_name} can't be asked: {error}"
            ) from error
        return answer.status, answer.body

    def _describe_missing(self, request_id: RequestId) -> str:
        """Return why there is no record, as far as the id shows."""
        parts = request_id.rsplit("-", 2)
        if len(parts) != 3 or not parts[2].isdecimal():
            return f"{request_id!r} is no request id, expected NODE-INCARNATION-NUMBER"
        node_name, incarnation, _ = parts
        identity = self._core.identity
        if node_name == identity.node and incarnation != identity.incarnation:
            return f"no record of {request_id!r}: {node_name} has restarted since"
        if node_name == identity.node:
            return (
                f"no record of {request_id!r}: no such request, or older than the"
                f" newest {MAX_RECORDS:,} of {node_name}"
            )
        return f"no record of {request_id!r}: no node {node_name!r} is in the VM list"

    def _find_version(self, request: HttpRequest, name: str) -> Configuration:
        text = request.query.get(name)
        if text is None:
            return self._core.configuration
        is_number = text.isdecimal() and len(text) <= _MAX_DIGITS
        found = self._core.log.find_version(int(text)) if is_number else None
        if found is None:
            shown = text[:_MAX_DIGITS]
            raise RouterError(ErrorKind.NOT_FOUND, f"no version {shown!r} is kept")
        return found


async def _refuse(error: RouterError, responder: Responder) -> None:
    rendered = render_refusal(build_refusal(error, RequestId("")))
    await responder.send(rendered.status, rendered.headers, rendered.body)
