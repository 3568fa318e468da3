"""The capacity of a target."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple

__all__ = ["TargetKind", "TargetShape"]

TargetKind = Literal["minion", "worker"]


class TargetShape(NamedTuple):
    """The kind and capacity of a target.

    A minion has ``slots``; a worker has ``processors``, ``memory_mb`` and
    ``accelerators``. The other fields are zero.
    """

    kind: TargetKind
    slots: int = 0
    processors: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    rack: str = ""
