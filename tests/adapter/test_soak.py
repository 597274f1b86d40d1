"""A short run of the soak, and the seeds that once failed."""

import pytest
from machines import is_loopback_range_usable
from soak import play

pytestmark = pytest.mark.skipif(
    not is_loopback_range_usable(), reason="needs the whole loopback range"
)


# Seed 1: a gateway ended by SIGHUP while it loaded.
@pytest.mark.parametrize("seed", [1])
async def test_promises_hold_while_faults_overlap(tmp_path, seed):
    broken, soak = await play(tmp_path, seed, seconds=8.0)
    assert broken == [], soak.faults
    assert soak.outcomes()["book 200"] > 0
