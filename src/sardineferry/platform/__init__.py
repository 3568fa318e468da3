"""Adapters to the platform: its names, data formats and HTTP calls.

They translate to and from the core's types and hold no decision logic.
"""

from __future__ import annotations
