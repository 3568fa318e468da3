"""A dispatcher for tasks that run for less than a second."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
