"""Content of the usage lines in the event log."""

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.usage import UsageMeter


async def test_line_holds_requested_and_served_tokens():
    # Guards against lines that do not distinguish a starved team from one that requests
    # little.
    clock = ManualClock()
    meter = UsageMeter(clock)
    meter.record_requested("hot", 900)
    meter.record_requested("hot", 100)
    meter.record_served("hot", 100)
    meter.record_requested("small", 50)
    await clock.advance(1_000)
    fields = meter.collect()
    assert fields["period_ms"] == 1_000
    assert (fields["asked"], fields["given"]) == (1_050, 100)
    assert fields["teams"] == {"hot": [1_000, 100], "small": [50, 0]}
    assert meter.collect()["teams"] == {}


def test_line_lists_only_the_teams_that_requested_most():
    # Guards against lines that grow with the number of teams.
    meter = UsageMeter(ManualClock())
    for number in range(50):
        meter.record_requested(f"team{number}", number)
    assert list(meter.collect()["teams"]) == [f"team{n}" for n in range(49, 44, -1)]
