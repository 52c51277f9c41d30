"""Logging to a console or as JSON."""

import logging
import sys
from enum import Enum
from typing import Any, TextIO, cast

import structlog


class LogFormat(Enum):
    """Log formats."""

    CONSOLE = "console"
    JSON = "json"


def configure_logs(
    *, log_format: LogFormat, level: str, instance: str, zone: str, stream: TextIO | None = None
) -> None:
    """Configure the log format, the minimum level and the fields of every log line."""
    renderer: Any
    if log_format is LogFormat.JSON:
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=stream or sys.stderr),
        # Binding takes half of the time of a line, and programs configure logs only once.
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance, zone=zone)


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds the module name to its lines."""
    return cast(structlog.typing.FilteringBoundLogger, structlog.get_logger(module=name))
