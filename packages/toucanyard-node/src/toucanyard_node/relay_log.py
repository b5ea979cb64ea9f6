"""Log relayed calls: one line per decision, with its inputs."""

from __future__ import annotations

from typing import Final

import structlog

from toucanyard.relay_requests import (
    HedgeWithheld,
    PlacementReason,
    RelayDispatch,
    RelayForward,
    RelayRequest,
)
from toucanyard.requests import Refuse

_LOG: Final = structlog.get_logger()
_MAX_ID: Final = 40
"""Maximum number of characters of an id that a caller chose."""
_MAX_BLOCKS: Final = 16
"""Maximum number of prompt blocks in a log line."""
_ANSWERED: Final = "answered"


def log_sent(dispatch: RelayDispatch) -> None:
    """Log the chosen replica of a call and the inputs of that decision."""
    reason = dispatch.reason
    assert reason is not None
    _LOG.info(
        "sent",
        call=dispatch.request_id,
        replica=dispatch.replica,
        attempt=dispatch.attempt,
        hedged=dispatch.hedged,
        weights=dispatch.weights_version,
        software=dispatch.software_version,
        score_ms=round(reason.total_ms, 1),
        wait_ms=round(reason.wait_ms, 1),
        unread=reason.unread_tokens,
        fetched=reason.fetched_tokens,
        fetch_from=dispatch.fetch_from,
        considered=reason.considered,
        queued_ms=round(reason.queued_ms),
        view_age_ms=round(reason.view_age_ms),
        gone_ms=None if reason.gone_ms is None else round(reason.gone_ms),
        **_describe_uneven(reason),
    )


def _describe_uneven(reason: PlacementReason) -> dict[str, float]:
    """Return the inputs that count only where replicas state their contention."""
    if reason.short_share is None:
        return {}
    return {
        "speed": round(reason.speed_factor, 2),
        "short_share": round(reason.short_share, 2),
    }


def log_kept_closed(dispatch: RelayDispatch, reason: str) -> None:
    """Log that a call found its kept connection closed and uses a new one."""
    _LOG.info(
        "kept_connection_closed",
        call=dispatch.request_id,
        replica=dispatch.replica,
        attempt=dispatch.attempt,
        reason=reason,
    )


def log_resumed(request: RelayRequest) -> None:
    """Log that a caller takes up a stream, and by which try it says it began."""
    if not request.last_event_id and not request.resumed_id:
        return
    _LOG.info(
        "resume_received",
        call=request.request_id,
        route=request.route,
        resumes=request.resumed_id[:_MAX_ID],
        last_event=request.last_event_id[:_MAX_ID],
    )


def log_forwarded(forward: RelayForward) -> None:
    """Log the peer that a call is forwarded to and the inputs of that decision."""
    _LOG.info(
        "forwarded",
        call=forward.request_id,
        peer=forward.peer,
        attempt=forward.attempt,
        hedged=forward.hedged,
        unreached_ms=round(forward.unreached_ms),
        considered=forward.candidates,
        max_attempts=forward.max_attempts,
    )


def log_forward_ended(
    request: RelayRequest,
    forward: RelayForward,
    ending: str,
    status: int,
    after_ms: float,
    text: str,
) -> None:
    """Log how the forward of a call ended."""
    _LOG.info(
        "forward_ended",
        call=request.request_id,
        peer=forward.peer,
        attempt=forward.attempt,
        ending=ending,
        status=status,
        after_ms=round(after_ms),
        target_ms=request.target_ms,
        reason=text,
        route=request.route,
    )


def log_refused(refusal: Refuse, version: int) -> None:
    """Log why a call is refused and when its caller may retry."""
    _LOG.info(
        "refused",
        call=refusal.request_id,
        kind=refusal.kind.value,
        ending=refusal.ending.value,
        retry_after_ms=refusal.retry_after_ms,
        reason=refusal.text,
        version=version,
    )


def log_silent(
    request: RelayRequest,
    attempt: int,
    target: str,
    silent_ms: float,
    after_ms: float,
    *,
    has_begun: bool,
) -> None:
    """Log that a replica or peer has sent nothing of an answer for some time."""
    _LOG.info(
        "attempt_silent",
        call=request.request_id,
        attempt=attempt,
        target=target,
        silent_ms=round(silent_ms),
        after_ms=round(after_ms),
        has_begun=has_begun,
        remaining_ms=round(request.deadline_ms - request.arrived_ms - after_ms),
        max_attempts=request.max_attempts,
        version=request.table_version,
    )


def log_hedge_withheld(withheld: HedgeWithheld) -> None:
    """Log why a call waits for a silent attempt without another one."""
    _LOG.info(
        "hedge_withheld",
        call=withheld.request_id,
        attempt=withheld.attempt,
        kind=withheld.kind.value,
        reason=withheld.text,
    )


def log_continued(
    request: RelayRequest,
    attempt: int,
    target: str,
    silent_ms: float | None,
    cancelled: int,
) -> None:
    """Log which attempt of a hedged call continues its answer."""
    _LOG.info(
        "attempt_continued",
        call=request.request_id,
        attempt=attempt,
        target=target,
        silent_ms=None if silent_ms is None else round(silent_ms),
        cancelled=cancelled,
    )


def log_ended(
    request: RelayRequest,
    dispatch: RelayDispatch,
    ending: str,
    status: int,
    after_ms: float,
    first_ms: float | None,
    text: str = "",
    *,
    is_closed: bool = False,
) -> None:
    """Log how a dispatch ended; a failed one with the blocks of its prompt."""
    blocks = None if ending == _ANSWERED else _format_blocks(request)
    _LOG.info(
        "ended",
        call=request.request_id,
        replica=dispatch.replica,
        attempt=dispatch.attempt,
        ending=ending,
        status=status,
        after_ms=round(after_ms),
        first_ms=None if first_ms is None else round(first_ms),
        target_ms=request.target_ms,
        reason=text,
        route=request.route,
        customer=request.customer,
        fingerprint=request.fingerprint,
        is_closed=is_closed,
        blocks=blocks,
    )


def log_answer_over_bound(
    request: RelayRequest,
    attempt: int,
    target: str,
    bound: str,
    received_bytes: int,
    after_ms: float,
) -> None:
    """Log that an answer exceeds a bound on received bytes and is given up."""
    _LOG.warning(
        "answer_over_bound",
        call=request.request_id,
        attempt=attempt,
        target=target,
        bound=bound,
        received_bytes=received_bytes,
        after_ms=round(after_ms),
        route=request.route,
    )


def _format_blocks(request: RelayRequest) -> str | None:
    """Return the names of the prompt blocks that other calls may share."""
    if request.prompt is None:
        return None
    names = [block.name[:_MAX_ID] for block in request.prompt.find_shared()]
    return ",".join(names[:_MAX_BLOCKS])
