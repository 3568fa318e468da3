"""Decision code without input or output.

An event changes the state and yields effects, which the process carries out.
The time (milliseconds of a monotonic clock) and random sources are passed in.
"""

from __future__ import annotations
