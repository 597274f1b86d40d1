"""What the lines about load say."""

from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.usage import UsageMeter


async def test_line_tells_what_teams_asked_for_and_were_given():
    # Guards against lines that cannot tell a starved team from one that asks little.
    clock = ManualClock()
    meter = UsageMeter(clock)
    meter.note_asked("hot", 900)
    meter.note_asked("hot", 100)
    meter.note_given("hot", 100)
    meter.note_asked("small", 50)
    await clock.advance(1_000)
    fields = meter.take()
    assert fields["period_ms"] == 1_000
    assert (fields["asked"], fields["given"]) == (1_050, 100)
    assert fields["teams"] == {"hot": [1_000, 100], "small": [50, 0]}
    assert meter.take()["teams"] == {}


def test_line_names_only_the_teams_that_asked_for_most():
    # Guards against lines that grow with the number of teams.
    meter = UsageMeter(ManualClock())
    for number in range(50):
        meter.note_asked(f"team{number}", number)
    assert list(meter.take()["teams"]) == [f"team{n}" for n in range(49, 44, -1)]
