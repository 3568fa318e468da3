"""Typed messages."""

from __future__ import annotations

from sardineferry.messages.codec import CodecError
from sardineferry.messages.codec import decode_frame
from sardineferry.messages.codec import encode_frame
from sardineferry.messages.job import Attempt
from sardineferry.messages.job import Job
from sardineferry.messages.job import JobAnswer
from sardineferry.messages.job import Task
from sardineferry.messages.job import TaskOutcome
from sardineferry.messages.job import TaskResult
from sardineferry.messages.target import TargetShape
from sardineferry.messages.wire import WireMessage

__all__ = [
    "Attempt",
    "CodecError",
    "Job",
    "JobAnswer",
    "TargetShape",
    "Task",
    "TaskOutcome",
    "TaskResult",
    "WireMessage",
    "decode_frame",
    "encode_frame",
]
