"""Functions to continue with the result of a future."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["then", "when_done"]

SourceT = TypeVar("SourceT")
ResultT = TypeVar("ResultT")


def when_done(
    future: Future[ResultT],
    on_result: Callable[[ResultT], None],
    on_error: Callable[[Exception], None],
) -> None:
    """Call ``on_result`` with a future's result, or ``on_error`` with an exception.

    ``on_error`` also gets exceptions that ``on_result`` raises: where each call
    starts the next one, they would otherwise end the sequence silently.
    """

    def call_back(done: Future[ResultT]) -> None:
        try:
            on_result(done.result())
        except Exception as error:
            on_error(error)

    future.add_done_callback(call_back)


def then(
    future: Future[SourceT], convert: Callable[[SourceT], ResultT]
) -> Future[ResultT]:
    """Return a future that gets ``convert`` of another future's result.

    An exception in either becomes the exception of the returned future.
    """
    converted: Future[ResultT] = Future()

    def set_converted(done: Future[SourceT]) -> None:
        try:
            converted.set_result(convert(done.result()))
        except Exception as error:
            converted.set_exception(error)

    future.add_done_callback(set_converted)
    return converted
