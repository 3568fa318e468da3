"""Commands of the operators' program, one a module."""

from __future__ import annotations
