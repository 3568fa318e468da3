"""Pure decision code: state and a message give new state and effects.

Nothing here performs input or output. Clocks (milliseconds on a monotonic
scale) and random sources are passed in.
"""

from __future__ import annotations
