"""Structured logging: one logfmt line of key=value pairs per event."""

__all__ = ["RateLimitedWriter", "configure_logs", "configure_rate_limited_logs"]

import logging
import os
import sys
import time
from typing import TextIO, cast

import structlog

LINES_PER_S = 40.0
BURST_LINES = 200.0
# Longest value of a line; what clients send may be much longer.
MAX_VALUE_CHARS = 500
MAX_TRACEBACK_CHARS = 8000


class RateLimitedWriter:
    """Write lines to a file descriptor with a token bucket, without blocking.

    Lines that exceed the rate, or that the descriptor cannot accept immediately, are
    dropped. The next line written is preceded by a ``lines_left_out`` event with the
    number of dropped lines.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        lines_per_s: Sustained rate, in lines per second.
        burst: Capacity of the token bucket, in lines.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self.dropped_lines = 0

    def admit(self) -> bool:
        """Take a token for one line; return False and count a drop if there is none."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + refill)
        if self._tokens < 1.0:
            self.dropped_lines += 1
            return False
        self._tokens -= 1.0
        return True

    def write(self, text: str) -> int:
        """Write a line, or drop it if the descriptor cannot accept it."""
        if self.dropped_lines:
            text = f"event=lines_left_out count={self.dropped_lines}\n{text}"
        try:
            os.write(self._descriptor, text.encode(errors="backslashreplace"))
            self.dropped_lines = 0
        except OSError:
            self.dropped_lines += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are not buffered."""


class _LossyStream:
    """Write to a stream, and leave out what it does not take.

    A log that nobody reads any more must not fail what is logged.
    """

    def __init__(self, stream: TextIO):
        self._stream = stream

    def write(self, text: str) -> int:
        """Write text, or drop it if the stream is closed or full."""
        try:
            self._stream.write(text)
        except (OSError, ValueError):
            pass
        return len(text)

    def flush(self) -> None:
        """Flush the stream unless it is closed or full."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            pass


class _LibraryHandler(logging.Handler):
    """Write what libraries log as events, within the same rate."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as an event."""
        structlog.get_logger().log(
            record.levelno,
            "library_message",
            library=record.name,
            text=record.getMessage(),
            exc_info=record.exc_info,
        )


class _RateLimitProcessor:
    """Drop an event that exceeds the writer's rate before it is rendered."""

    def __init__(self, writer: RateLimitedWriter):
        self._writer = writer

    def __call__(
        self, logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        if not self._writer.admit():
            raise structlog.DropEvent
        return event


def configure_rate_limited_logs(level: str, **context: str) -> None:
    """Log to standard output as logfmt, rate-limited and without blocking.

    The lines of libraries go there too: standard error blocks if nobody reads it.

    Args:
        level: Name of the lowest level to log.
        context: Key-value pairs to add to every line.
    """
    writer = RateLimitedWriter(sys.stdout.fileno())
    _configure(level, cast(TextIO, writer), [_RateLimitProcessor(writer)], context)
    logging.basicConfig(handlers=[_LibraryHandler()])


def configure_logs(level: str, **context: str) -> None:
    """Log to standard error as logfmt.

    Args:
        level: Name of the lowest level to log.
        context: Key-value pairs to add to every line.
    """
    _configure(level, cast(TextIO, _LossyStream(sys.stderr)), [], context)


def _configure(
    level: str,
    stream: TextIO,
    leading_processors: list[structlog.typing.Processor],
    context: dict[str, str],
) -> None:
    structlog.configure(
        processors=[
            *leading_processors,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _bound_values,
            _ContextProcessor(context),
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], drop_missing=True
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )


def _bound_values(
    logger: object, name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Cut long values."""
    for key, value in event.items():
        limit = MAX_TRACEBACK_CHARS if key == "exception" else MAX_VALUE_CHARS
        if isinstance(value, str) and len(value) > limit:
            event[key] = value[:limit]
    return event


class _ContextProcessor:
    """Add fixed key-value pairs to every event; they override the event's own."""

    def __init__(self, context: dict[str, str]):
        self._context = context

    def __call__(
        self, logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        return {**event, **self._context}
