"""Log configuration: JSON lines with a fixed prefix for each component."""

import io
import logging
import sys
from typing import Any, TextIO

import structlog

from tanagerpath.observability.streams import LineStream

__all__ = ["configure_logs", "get_logger"]

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure_logs(
    level: str = "info", stream: TextIO | LineStream | None = None
) -> None:
    """Configure the log of this process.

    Each line is a JSON object with `time` (UTC), `level` and `message`, and the values
    as further fields. Warnings of libraries are logged with the prefix "library".

    Parameters
    ----------
    level : str
        Lowest level written: "debug", "info", "warning" or "error".
    stream : TextIO or LineStream, optional
        Output of the lines; by default standard error, without blocking on its reader.
    """
    target = stream or _open_error_stream()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            _add_prefix,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=target),
        cache_logger_on_first_use=False,
    )
    root = logging.getLogger()
    root.handlers = [_LibraryHandler(level=logging.WARNING)]


def _open_error_stream() -> TextIO | LineStream:
    try:
        return LineStream.from_stream(sys.stderr)
    except io.UnsupportedOperation:
        # Standard error was replaced by an in-memory stream, which never blocks.
        return sys.stderr


def get_logger(part: str) -> Any:
    """Return the logger of a component.

    Parameters
    ----------
    part : str
        Fixed prefix of all lines, such as "control", "entry", "consensus", "placement",
        "upstream" or "storage".

    Returns
    -------
    structlog logger
        Its methods `debug`, `info`, `warning` and `error` take a short message, and
        values by keyword.
    """
    return structlog.get_logger(part=part)


def _add_prefix(logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
    first_fields = {key: event.pop(key) for key in ("time", "level")}
    message = f"{event.pop('part', 'process')}: {event.pop('event')}"
    return {**first_fields, "message": message, **event}


class _LibraryHandler(logging.Handler):
    """Forwards records of `logging` to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        get_logger("library").warning(
            record.getMessage(),
            logger=record.name,
            exc_info=record.exc_info or None,
        )
