"""Configure logging: one line of key=value pairs per event.

Prompts and keys are never passed to a log call, only names, ids, counts and times.
"""

from __future__ import annotations

import logging
import sys

import structlog

from toucanyard.names import NodeName
from toucanyard_node.bounded_output import BoundedOutput


def configure_logs(
    node: NodeName, level: str, output: BoundedOutput | None = None
) -> None:
    """Write each event as one key=value line to an output, or to standard error."""
    factory = structlog.PrintLoggerFactory(sys.stderr)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=factory if output is None else lambda *_: output,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)
