from collections import deque

import pytest

from bulrushbend.share.slots import EngineLoad, SlotLimit, parse_load

REPORT = """\
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="flor"} 7.0
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{model_name="flor"} 2.0
# TYPE vllm:kv_cache_usage_perc gauge
vllm:kv_cache_usage_perc{model_name="flor"} 0.5
"""


def test_report_in_prometheus_text_is_parsed():
    assert parse_load(REPORT) == EngineLoad(7.0, 2.0, 0.5)


@pytest.mark.parametrize("text", ["", "<html>", "vllm:num_requests_waiting{ 1"])
def test_unreadable_report_changes_nothing(text):
    # A broken metrics page must neither lower nor raise the limit.
    limit = SlotLimit(8)
    assert parse_load(text) is None
    assert limit.update(parse_load(text), in_use=8, now_ms=0.0) == 8


@pytest.mark.parametrize("lag_reports", [0, 1, 2, 4])
def test_queue_in_the_engine_is_bounded_and_slots_recover(lag_reports):
    # Delayed reports can cause two failures: a limit that falls to 1 because it is
    # decreased repeatedly for the same queue, and a limit that never recovers.
    limit = SlotLimit(16, lag_ms=500.0 * (lag_reports + 1))
    reports = deque([EngineLoad(16.0, 0.0)] * lag_reports)
    queues, limits = [], []
    for step in range(400):
        capacity = 10 if step < 200 else 16
        in_use = limit.limit
        queue = max(0, in_use - capacity)
        reports.append(EngineLoad(min(in_use, capacity), queue))
        limit.update(reports.popleft(), in_use, step * 500.0)
        queues.append(queue)
        limits.append(limit.limit)
    settled = slice(20, 200)
    # An increase exceeds the capacity by one slot for each report in transit.
    assert max(queues[settled]) <= 1 + lag_reports
    assert min(limits[settled]) >= 0.8 * 10 - 1
    assert min(limits[300:]) == 16


def test_limit_follows_the_manifest_and_stays_in_bounds():
    limit = SlotLimit(8)
    limit.set_upper_bound(12)
    assert limit.limit == 12
    limit.update(EngineLoad(1.0, 50.0), in_use=1, now_ms=0.0)
    assert limit.limit == 1
    limit.set_upper_bound(4)
    assert limit.limit == 1
    for number in range(1, 20):
        limit.update(EngineLoad(1.0, 0.0), limit.limit, number * 5000.0)
    assert limit.limit == 4


def test_idle_engine_does_not_raise_the_limit():
    limit = SlotLimit(16)
    limit.update(EngineLoad(10.0, 5.0), in_use=16, now_ms=0.0)
    low = limit.limit
    for number in range(1, 20):
        limit.update(EngineLoad(0.0, 0.0), in_use=0, now_ms=number * 5000.0)
    assert limit.limit == low
