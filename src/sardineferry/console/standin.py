"""The ``sardineferry-standin`` program, for tests and demos only."""

from __future__ import annotations

import cyclopts

from sardineferry.http_server import HttpServer
from sardineferry.logs import configure_logs
from sardineferry.signals import SignalWatch
from sardineferry.standin import LogStandin
from sardineferry.standin import TargetStandin
from sardineferry.standin import WorkerStandin

__all__ = ["main"]

BODY_LIMIT_BYTES = 16 * 1024 * 1024
LOG_THREADS = 16
WORKER_THREADS = 16
SPARE_THREADS = 4
STEP_S = 1.0

application = cyclopts.App(name="sardineferry-standin")


def serve(server: HttpServer) -> None:
    """Serve until a signal arrives."""
    configure_logs("WARNING", json_lines=False)
    watch = SignalWatch(lambda: None)
    watch.install()
    server.start()
    while not watch.wait_for_drain(STEP_S):
        pass
    server.stop()


@application.command
def log(listen: str) -> None:
    """Serve the platform's log.

    Args:
        listen: The host:port to listen on.

    """
    serve(HttpServer(LogStandin(), listen, LOG_THREADS, BODY_LIMIT_BYTES))


@application.command
def target(listen: str, slots: int = 8, slowness: float = 1.0) -> None:
    """Serve a target.

    Args:
        listen: The host:port to listen on.
        slots: How many tasks run at once.
        slowness: What run times are multiplied by.

    """
    standin = TargetStandin(slots, slowness)
    serve(HttpServer(standin, listen, slots + SPARE_THREADS, BODY_LIMIT_BYTES))


@application.command
def worker(
    listen: str, report_to: str, worker_id: str, service: str, cpu: int = 64_000
) -> None:
    """Serve a leased worker that reports to an agent.

    Args:
        listen: The host:port to listen on.
        report_to: The host:port at which the agent takes reports.
        worker_id: The worker's id.
        service: The worker's service.
        cpu: Thousandths of a core.

    """
    standin = WorkerStandin(worker_id, service, cpu)
    standin.report_to(report_to)
    serve(HttpServer(standin, listen, WORKER_THREADS, BODY_LIMIT_BYTES))


def main() -> None:
    """Run the program."""
    application()
