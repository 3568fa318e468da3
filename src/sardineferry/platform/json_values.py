"""Types of values in the platform's JSON, with bounds; describes invalid values.

JSON has numbers of any size, but messages between processes have integers of 64 bits.
Within these bounds sums and products that are sent on stay below that.
"""

from __future__ import annotations

import re
from typing import Annotated

import msgspec

__all__ = ["MAX_QUANTITY", "Integer", "Label", "Quantity", "describe_invalid"]

MAX_QUANTITY = 2**31 - 1
MAX_LABEL_CHARACTERS = 1_024
# Of an invalid value, only the beginning is shown.
MAX_SHOWN_CHARACTERS = 40
# In longer documents an invalid value is not looked up, which takes time.
MAX_SEARCHED_BYTES = 16_384

# An amount of something, or a duration in ms: up to 24 days.
Quantity = Annotated[int, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
# A number that only rises, such as a time or a sequence number.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

# The name of a rack, of a service or of a kind of workers. Names stay as long as the
# job or the worker that they are for.
Label = Annotated[str, msgspec.Meta(max_length=MAX_LABEL_CHARACTERS)]

# The path of a value in a message of the decoder, and a step of it.
PATH_PATTERN = re.compile(r" - at `\$(?P<path>[^`]*)`\Z")
STEP_PATTERN = re.compile(r"\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]")

Error = msgspec.DecodeError | UnicodeDecodeError | RecursionError


def describe_invalid(body: bytes, error: Error, prefix: str = "") -> str:
    """Return the reason of a decoder's error, with the path and text of the value.

    ``prefix`` is the path of ``body`` in the whole document.
    """
    reason = str(error)
    found = PATH_PATTERN.search(reason)
    if found is None:
        return reason
    path = found["path"]
    if len(body) > MAX_SEARCHED_BYTES:
        return f"{reason[: found.start()]} - at `${prefix}{path}`"
    try:
        value = bytes(find_value(body, path)).decode(errors="replace")
    except (msgspec.DecodeError, LookupError, RecursionError):
        value = "?"
    if len(value) > MAX_SHOWN_CHARACTERS:
        value = f"{value[:MAX_SHOWN_CHARACTERS]}..."
    return f"{reason[: found.start()]}: {value} - at `${prefix}{path}`"


def find_value(body: bytes, path: str) -> msgspec.Raw:
    """Return the text of the value at a path of a JSON document.

    Raises:
        DecodeError: The document is malformed, or another one than the path is for.
        LookupError: There is no such value.

    """
    value = msgspec.Raw(body)
    for step in STEP_PATTERN.finditer(path):
        if step["name"] is not None:
            fields = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
            value = fields[step["name"]]
        else:
            members = msgspec.json.decode(value, type=list[msgspec.Raw])
            value = members[int(step["index"])]
    return value
