"""Structured logs: one line of key=value pairs for each event."""

__all__ = ["BoundedWriter", "configure_bounded_logs", "configure_logs"]

import logging
import os
import sys
import time
from typing import TextIO, cast

import structlog

LINES_PER_S = 40.0
BURST_LINES = 200.0


class BoundedWriter:
    """Write lines to a descriptor at a bounded rate, without ever waiting for it.

    Lines beyond the rate, or that the reader is too slow for, are left out; the next
    line that is written is preceded by their count.

    Args:
        descriptor: Where to write; it is made non-blocking.
        lines_per_s: Lines that may be written per second.
        burst: Lines that may be written at once.
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
        self.left_out = 0

    def admit(self) -> bool:
        """Take the place of one line; return whether there was one."""
        now = time.monotonic()
        earned = (now - self._refilled_at) * self._rate
        self._refilled_at = now
        self._tokens = min(self._burst, self._tokens + earned)
        if self._tokens < 1.0:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True

    def write(self, text: str) -> int:
        """Write a line, or leave it out."""
        if self.left_out:
            text = f"event=lines_left_out count={self.left_out}\n{text}"
        try:
            os.write(self._descriptor, text.encode())
            self.left_out = 0
        except OSError:
            self.left_out += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; every line is written at once."""


class _Bound:
    """Drop an event early when the writer has no room for it."""

    def __init__(self, writer: BoundedWriter):
        self._writer = writer

    def __call__(
        self, logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        if not self._writer.admit():
            raise structlog.DropEvent
        return event


def configure_bounded_logs(level: str, **context: str) -> None:
    """Write logfmt lines to standard output, at a bounded rate and never waiting.

    Args:
        level: Name of the lowest level to write.
        context: Pairs that every line carries.
    """
    writer = BoundedWriter(sys.stdout.fileno())
    _configure(level, cast(TextIO, writer), [_Bound(writer)], context)


def configure_logs(level: str, **context: str) -> None:
    """Write logfmt lines to standard error.

    Args:
        level: Name of the lowest level to write.
        context: Pairs that every line carries.
    """
    _configure(level, sys.stderr, [], context)


def _configure(
    level: str,
    stream: TextIO,
    first: list[structlog.typing.Processor],
    context: dict[str, str],
) -> None:
    structlog.configure(
        processors=[
            *first,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _Context(context),
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


class _Context:
    def __init__(self, context: dict[str, str]):
        self._context = context

    def __call__(
        self, logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        return {**event, **self._context}
