"""The command lines of all programs."""

from __future__ import annotations
