"""Set-up of the log: JSON lines with a fixed prefix for each part."""

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
    """Set up the log of this process.

    Each line is a JSON object with `time` (UTC), `level` and `message`, and further
    fields for values. Warnings of libraries go the same way with the prefix "library".

    Parameters
    ----------
    level : str
        Lowest level written: "debug", "info", "warning" or "error".
    stream : TextIO or LineStream, optional
        Where the lines go; standard error without waiting for its reader by default.
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
        # Standard error was replaced by a stream in memory, which never blocks.
        return sys.stderr


def get_logger(part: str) -> Any:
    """Return the logger of a part.

    Parameters
    ----------
    part : str
        Fixed prefix of all lines, such as "control", "entry", "consensus", "placement",
        "upstream" or "storage".

    Returns
    -------
    structlog logger
        Methods `debug`, `info`, `warning` and `error` take a short sentence and values
        by keyword.
    """
    return structlog.get_logger(part=part)


def _add_prefix(logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
    head = {key: event.pop(key) for key in ("time", "level")}
    message = f"{event.pop('part', 'process')}: {event.pop('event')}"
    return {**head, "message": message, **event}


class _LibraryHandler(logging.Handler):
    """Passes records of the standard library's loggers on."""

    def emit(self, record: logging.LogRecord) -> None:
        get_logger("library").warning(
            record.getMessage(),
            logger=record.name,
            exc_info=record.exc_info or None,
        )
