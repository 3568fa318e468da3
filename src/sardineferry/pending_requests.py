"""Requests that wait for the core's answer."""

from __future__ import annotations

import itertools
from concurrent.futures import Future
from typing import Generic
from typing import TypeVar

__all__ = ["PendingRequests"]

T = TypeVar("T")


class PendingRequests(Generic[T]):
    """The futures of unanswered requests, by token.

    Each token is answered at most once. Answering calls the future's callbacks at
    once, in the loop's thread.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.tokens = itertools.count(1)
        self.futures: dict[int, Future[T]] = {}

    def open(self) -> tuple[int, Future[T]]:
        """Add a request and return its token and future."""
        token = next(self.tokens)
        future: Future[T] = Future()
        self.futures[token] = future
        return token, future

    def answer(self, token: int, value: T) -> None:
        """Answer a request; one that was discarded is ignored."""
        future = self.futures.pop(token, None)
        if future is not None:
            future.set_result(value)

    def discard(self, token: int) -> None:
        """Remove a request, so that a later answer is ignored."""
        self.futures.pop(token, None)
