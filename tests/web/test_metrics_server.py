"""Tests of the metrics server; its first request imports the metrics library."""

from __future__ import annotations

from collections import Counter

import pytest

from sardineferry.burst.evacuation_gauges import evacuation_gauges
from sardineferry.decision.burst.evacuation import EvacuationRelay
from sardineferry.decision.gauges import Gauge
from sardineferry.loop import IoLoop
from sardineferry.messages.burst import Evacuations
from sardineferry.metrics_server import MetricsServer
from sardineferry.web import HttpClient
from tests.loops import run_until


@pytest.fixture
def loop() -> IoLoop:
    return IoLoop()


def scrape(loop: IoLoop, server: MetricsServer, method: str = "GET") -> str:
    client = HttpClient(loop, f"127.0.0.1:{server.http.port}", 1)
    call = client.call(method, "/metrics", timeout_s=10.0)
    run_until(loop, call.done)
    return f"{call.result().status} {call.result().body.decode()}"


def test_first_request_imports_the_library_and_shows_earlier_counts(
    loop: IoLoop,
) -> None:
    server = MetricsServer(loop, "127.0.0.1", Counter(jobs_admitted=2), 0)
    server.start()
    server.observe("job", "completed", 50)
    assert server.page is None
    assert 'latency_seconds_count{outcome="completed",what="job"} 1.0' in scrape(
        loop, server
    )
    server.observe("job", "completed", 70)
    text = scrape(loop, server)
    assert text.startswith("200 ")
    assert "sardineferry_jobs_admitted_total 2.0" in text
    name = "sardineferry_latency_seconds"
    labels = 'outcome="completed",what="job"'
    assert f"{name}_count{{{labels}}} 2.0" in text
    assert f"{name}_sum{{{labels}}} 0.12" in text
    assert f'{name}_bucket{{le="0.05",{labels}}} 1.0' in text
    assert f'{name}_bucket{{le="0.1",{labels}}} 2.0' in text


def test_gauges_show_evacuated_data_centres_with_position_and_age(
    loop: IoLoop,
) -> None:
    """Guards against operators who can't see which list a process holds."""
    relay = EvacuationRelay()
    server = MetricsServer(
        loop, "127.0.0.1", Counter(), 0, lambda: evacuation_gauges(relay, 3_500)
    )
    server.start()
    assert "evacuat" not in scrape(loop, server)
    relay.adopt(Evacuations(7, ("dc-1", "dc-2")), 1_000)
    text = scrape(loop, server)
    assert "sardineferry_evacuations_position 7.0" in text
    assert "sardineferry_evacuations_age_seconds 2.5" in text
    for name in ("dc-1", "dc-2"):
        label = f'data_centre="{name}"'
        assert f"sardineferry_data_centre_evacuated{{{label}}} 1.0" in text


def test_methods_other_than_get_are_rejected(loop: IoLoop) -> None:
    server = MetricsServer(loop, "127.0.0.1", Counter(), 0)
    server.start()
    assert scrape(loop, server, "POST").startswith("405 ")


@pytest.mark.parametrize(
    ("gauge", "line"),
    [
        (Gauge("age_ms", "age", "", {"": 20}), "sardineferry_age_ms 20.0"),
        (
            Gauge("work", "work", "priority", {"0": 5}),
            'sardineferry_work{priority="0"} 5.0',
        ),
    ],
)
def test_gauges_are_read_for_each_page(loop: IoLoop, gauge: Gauge, line: str) -> None:
    """A gauge that is read only once shows a state that is over."""
    gauges = [gauge]
    server = MetricsServer(loop, "127.0.0.1", Counter(), 0, lambda: gauges)
    server.start()
    assert line in scrape(loop, server)
    gauges.clear()
    assert line not in scrape(loop, server)
