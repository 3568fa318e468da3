"""Access to the platform's append-only log."""

from __future__ import annotations

from sardineferry.platform.client import LogClient
from sardineferry.platform.client import LogError
from sardineferry.platform.tail import LogTail

__all__ = ["LogClient", "LogError", "LogTail"]
