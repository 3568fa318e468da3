"""Tests of metrics that are loaded after the start, over loopback."""

from __future__ import annotations

import http.client
from collections import Counter

from sardineferry.exposition import Exposition


def scrape(exposition: Exposition) -> tuple[int, str]:
    connection = http.client.HTTPConnection(
        "127.0.0.1", exposition.http.port, timeout=10
    )
    connection.request("GET", "/metrics")
    response = connection.getresponse()
    return response.status, response.read().decode()


def test_observations_before_the_page_is_loaded_are_counted() -> None:
    exposition = Exposition("127.0.0.1", Counter(jobs_admitted=2), 0)
    exposition.http.start()
    exposition.observe("job", "completed", 50)
    assert exposition.page is None
    early_status, early_text = scrape(exposition)
    exposition.load()
    exposition.observe("job", "completed", 70)
    status, text = scrape(exposition)
    exposition.stop()
    assert (early_status, status) == (200, 200)
    assert 'latency_seconds_count{outcome="completed",what="job"} 1.0' in early_text
    assert "sardineferry_jobs_admitted_total 2.0" in text
    count = 'sardineferry_latency_seconds_count{outcome="completed",what="job"} 2.0'
    assert count in text
