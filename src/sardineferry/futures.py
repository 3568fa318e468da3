"""Steps that follow a future."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["deliver", "then"]

S = TypeVar("S")
T = TypeVar("T")


def deliver(
    future: Future[T], take: Callable[[T], None], failed: Callable[[Exception], None]
) -> None:
    """Hand a result on; an error in it or in ``take`` goes to ``failed``.

    A chain of calls that goes on by itself must not end by an unexpected error.
    """

    def hand_over(done: Future[T]) -> None:
        try:
            take(done.result())
        except Exception as error:
            failed(error)

    future.add_done_callback(hand_over)


def then(future: Future[S], step: Callable[[S], T]) -> Future[T]:
    """Return the future of a step that is applied to a result.

    An error in the step becomes the error of the returned future.
    """
    followed: Future[T] = Future()

    def follow(done: Future[S]) -> None:
        try:
            followed.set_result(step(done.result()))
        except Exception as error:
            followed.set_exception(error)

    future.add_done_callback(follow)
    return followed
