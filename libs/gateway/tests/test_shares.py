from bulrushbend.core.clock import ManualClock
from bulrushbend.gateway.shares import USAGE_DECAY_MS, TeamShares


async def test_usage_is_weighted_and_decays():
    clock = ManualClock()
    shares = TeamShares(clock)
    shares.set_shares({"a": 1.0, "b": 4.0})
    shares.charge([("a", 100), ("b", 200)])
    assert shares.normalized_usage("a") > shares.normalized_usage("b")
    await clock.advance(USAGE_DECAY_MS)
    assert 36 < shares.normalized_usage("a") < 37
    assert shares.normalized_usage("unknown") == 0
