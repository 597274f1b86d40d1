"""Short soak runs with seeds that have failed before."""

import pytest
from machines import is_loopback_range_usable
from soak import run_seed

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)


# Seed 1: SIGHUP ended a gateway while it was starting.
@pytest.mark.parametrize("seed", [1])
async def test_guarantees_hold_under_overlapping_faults(tmp_path, seed):
    violations, soak = await run_seed(tmp_path, seed, seconds=8.0)
    assert violations == [], soak.faults
    assert soak.outcomes()["book 200"] > 0
