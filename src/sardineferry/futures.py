"""Steps that follow a future."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["then"]

S = TypeVar("S")
T = TypeVar("T")


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
