from bulrushbend.core.clock import ManualClock
from bulrushbend.process.lease import ManifestLease


async def test_lease_counts_from_the_question_and_not_from_the_answer():
    # Guards against an answer that was delayed by a partition and renews the lease.
    clock = ManualClock(1000)
    lease = ManifestLease(clock, 3000)
    assert not lease.is_valid
    stamp = lease.stamp()
    await clock.advance(2000)
    lease.renew(stamp)
    assert lease.is_valid
    await clock.advance(999)
    assert lease.is_valid
    await clock.advance(1)
    assert not lease.is_valid


async def test_older_answer_does_not_shorten_the_lease():
    clock = ManualClock(1000)
    lease = ManifestLease(clock, 3000)
    old = lease.stamp()
    await clock.advance(1000)
    lease.renew(lease.stamp())
    lease.renew(old)
    await clock.advance(2500)
    assert lease.is_valid


async def test_lease_runs_out_while_the_vm_is_suspended(monkeypatch):
    # Guards against a frozen VM that serves revoked tokens when it wakes.
    clock = ManualClock(1000)
    lease = ManifestLease(clock, 3000)
    lease.renew(lease.stamp())
    monkeypatch.setattr(clock, "boot_ms", lambda: clock.now_ms() + 5000)
    assert not lease.is_valid
