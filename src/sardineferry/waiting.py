"""Requests that wait for the core's answer."""

from __future__ import annotations

import itertools
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["WaitingRequests"]

T = TypeVar("T")


class WaitingRequests(Generic[T]):
    """Futures by token; each is answered at most once.

    What is to follow an answer is given to the future as its callback, which
    runs in the loop.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.tokens = itertools.count(1)
        self.futures: dict[int, Future[T]] = {}

    def open(self) -> tuple[int, Future[T]]:
        """Return a new token and its future."""
        token = next(self.tokens)
        future: Future[T] = Future()
        self.futures[token] = future
        return token, future

    def answer(self, token: int, value: T) -> None:
        """Answer a token; one that was given up is ignored."""
        future = self.futures.pop(token, None)
        if future is not None:
            future.set_result(value)

    def answer_all(self, value: Callable[[int], T]) -> None:
        """Answer every token that waits."""
        for token in list(self.futures):
            self.answer(token, value(token))

    def give_up(self, token: int) -> None:
        """Wait no more for a token."""
        self.futures.pop(token, None)
