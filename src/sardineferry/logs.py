"""Logging: short sentences with a fixed prefix for each part."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

__all__ = ["configure_logs", "part_logger"]

LINE_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} [{extra[part]}] {message}"


def configure_logs(level: str, json_lines: bool) -> None:
    """Write logs to standard error, as lines of text or of JSON."""
    logger.remove()
    logger.configure(extra={"part": "main"})
    logger.add(sys.stderr, level=level, format=LINE_FORMAT, serialize=json_lines)


def part_logger(part: str) -> Logger:
    """Return a logger whose lines carry the prefix of a part."""
    return logger.bind(part=part)
