"""What the platform speaks: names, formats and calls; nothing here decides."""

from __future__ import annotations
