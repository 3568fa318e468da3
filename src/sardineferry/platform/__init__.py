"""What the platform speaks: names, formats and calls; nothing here decides."""

from __future__ import annotations

from sardineferry.platform.log import LogClient
from sardineferry.platform.store import StoreClient
from sardineferry.platform.store import StoreError
from sardineferry.platform.tail import LogTail

__all__ = ["LogClient", "LogTail", "StoreClient", "StoreError"]
