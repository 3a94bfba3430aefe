"""Configuration of structlog."""

from __future__ import annotations

import logging

import structlog

__all__ = ["configure_logging"]


def configure_logging(log_format: str, level: str, instance: str) -> None:
    """Log to standard output as JSON or console text, with the instance's name in every line."""
    renderer: structlog.types.Processor = structlog.processors.JSONRenderer()
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)
