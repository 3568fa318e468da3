"""Decision code without input or output.

An event changes the state and yields effects, which the process carries out.
The time (milliseconds of a monotonic clock) and random sources are passed in.

The subpackages ``entry`` and ``agent`` belong to the programs with these names;
``burst`` belongs to the two programs for burst jobs on an operator's platform.
"""

from __future__ import annotations
