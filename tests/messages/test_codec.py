"""Tests of the codec."""

from __future__ import annotations

import pytest

from sardineferry.messages import Attempt
from sardineferry.messages import CodecError
from sardineferry.messages import Job
from sardineferry.messages import JobAnswer
from sardineferry.messages import TargetShape
from sardineferry.messages import Task
from sardineferry.messages import TaskOutcome
from sardineferry.messages import TaskResult
from sardineferry.messages import WireMessage
from sardineferry.messages import decode_frame
from sardineferry.messages import encode_frame
from sardineferry.messages import wire

ATTEMPT = Attempt("s", "t", 2)
TASK = Task("t", "quote", True, "payload", 2, 100, 1, 50)
RESULT = TaskResult("answered", "text", "", 12)
ANSWER = JobAnswer("s", "failed", "r", 5, (TaskOutcome("t", "unknown", "", "r"),))


@pytest.mark.parametrize(
    "message",
    [
        wire.Announce("a", "i", "dc", TargetShape("minion", slots=8), 3),
        wire.Start(ATTEMPT, "run0", 4, 100, TASK),
        wire.Done(ATTEMPT, RESULT, 1),
        wire.Report("s", 2, (wire.ReportedTask("t", 1, RESULT),)),
        wire.Report("s", 2, (wire.ReportedTask("t", 1, None),)),
        wire.Revoke("s", (("t", 1), ("u", 2))),
        wire.PeerDigest("e", {"team": 4}),
        wire.Forward(1, Job("s", "team", 10, (TASK,), False)),
        wire.Forwarded(1, ANSWER),
    ],
)
def test_decode_frame_returns_what_was_encoded(message: WireMessage) -> None:
    frame = encode_frame([message, wire.LeaseEcho(1)])
    assert decode_frame(frame) == [message, wire.LeaseEcho(1)]


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        b"\x91\x92\xa5Bogus\x90",
        b"\x91\x92\xa9LeaseEcho\x91\xa1x",
        encode_frame([wire.LeaseEcho(1)])[:-1],
    ],
)
def test_decode_frame_rejects_malformed_frame(frame: bytes) -> None:
    with pytest.raises(CodecError):
        decode_frame(frame)
