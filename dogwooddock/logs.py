"""Structured logs: one line of key=value pairs for each event."""

__all__ = ["configure_logs"]

import logging
import sys

import structlog


def configure_logs(level: str, **context: str) -> None:
    """Write logfmt lines to standard error.

    Args:
        level: Name of the lowest level to write.
        context: Pairs that every line carries.
    """
    structlog.configure(
        processors=[
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
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )


class _Context:
    def __init__(self, context: dict[str, str]):
        self._context = context

    def __call__(
        self, logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        return {**event, **self._context}
