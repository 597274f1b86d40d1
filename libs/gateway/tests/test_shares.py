from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.shares import MEMORY_MS, TeamShares


async def test_use_is_weighted_and_forgotten():
    clock = ManualClock()
    shares = TeamShares(clock)
    shares.set_shares({"a": 1.0, "b": 4.0})
    shares.charge([("a", 100), ("b", 200)])
    assert shares.level("a") > shares.level("b")
    await clock.advance(MEMORY_MS)
    assert 36 < shares.level("a") < 37
    assert shares.level("unknown") == 0
