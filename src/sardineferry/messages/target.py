"""Shapes of the targets that agents stand beside."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

__all__ = ["TargetKind", "TargetShape"]

TargetKind = Literal["minion", "worker"]


class TargetShape(NamedTuple):
    """What a target offers.

    A minion offers ``slots``. A worker offers ``processors``, ``memory_mb``
    (megabytes) and ``accelerators``.
    """

    kind: TargetKind
    slots: int = 0
    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    rack: str = ""
