"""Tests of encoding and decoding frames of messages."""

from __future__ import annotations

import pytest

from sardineferry.messages import wire
from sardineferry.messages.codec import CodecError
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Job
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskOutcome
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape

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
def test_decode_frame_returns_what_was_encoded(message: wire.WireMessage) -> None:
    frame = wire.CODEC.encode([message, wire.LeaseEcho(1)])
    assert wire.CODEC.decode(frame) == [message, wire.LeaseEcho(1)]


@pytest.mark.parametrize(
    "bad",
    [wire.LeaseEcho(2**64), wire.LeaseEcho(-(2**63) - 1), wire.Leaving("\ud800")],
    ids=["above", "below", "text"],
)
def test_message_that_cannot_be_encoded_is_separated_from_others(
    bad: wire.WireMessage,
) -> None:
    good: list[object] = [wire.LeaseEcho(1), wire.LeaseEcho(2)]
    messages = [good[0], bad, good[1]]
    with pytest.raises(CodecError):
        wire.CODEC.encode(messages)
    assert wire.CODEC.split(messages) == (good, [bad])


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        b"\x91\x92\xa5Bogus\x90",
        b"\x91\x92\xa9LeaseEcho\x91\xa1x",
        wire.CODEC.encode([wire.LeaseEcho(1)])[:-1],
    ],
)
def test_decode_frame_rejects_malformed_frame(frame: bytes) -> None:
    with pytest.raises(CodecError):
        wire.CODEC.decode(frame)
