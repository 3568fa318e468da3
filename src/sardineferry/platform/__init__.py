"""Adapters to the operator's platform: its names, data formats and HTTP calls.

They convert to and from the core's types and contain no decision logic.
"""

from __future__ import annotations
