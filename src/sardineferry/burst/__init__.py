"""The entry and agent processes that serve burst jobs on an operator's platform."""

from __future__ import annotations
