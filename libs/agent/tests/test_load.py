import pytest

from bulrushbend.agent.load import LoadReport, parse_load

TEXT = """
# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name="a"} 3
vllm:num_requests_running{model_name="b"} 1
# TYPE vllm:num_requests_waiting gauge
vllm:num_requests_waiting{model_name="a"} 2
# TYPE vllm:kv_cache_usage_perc gauge
vllm:kv_cache_usage_perc{model_name="a"} 0.25
vllm:kv_cache_usage_perc{model_name="b"} 0.5
"""


def test_report_of_several_models_is_combined():
    assert parse_load(TEXT) == LoadReport(running=4, waiting=2, cache_usage=0.5)


@pytest.mark.parametrize("text", ["", "vllm:num_requests_running 1", "<html>", "a b c"])
def test_report_that_lacks_a_metric_is_refused(text):
    with pytest.raises(ValueError):
        parse_load(text)
