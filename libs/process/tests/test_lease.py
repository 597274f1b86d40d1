from bulrushbend.core.clock import ManualClock
from bulrushbend.process.lease import ManifestLease


async def test_lease_starts_at_the_request_and_not_at_the_reply():
    # Guards against a reply that a partition delays and that extends the lease.
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


async def test_older_reply_does_not_shorten_the_lease():
    clock = ManualClock(1000)
    lease = ManifestLease(clock, 3000)
    old = lease.stamp()
    await clock.advance(1000)
    lease.renew(lease.stamp())
    lease.renew(old)
    await clock.advance(2500)
    assert lease.is_valid


async def test_lease_expires_while_the_vm_is_suspended(monkeypatch):
    # Guards against a VM that accepts revoked tokens after it was suspended.
    clock = ManualClock(1000)
    lease = ManifestLease(clock, 3000)
    lease.renew(lease.stamp())
    monkeypatch.setattr(clock, "boot_ms", lambda: clock.now_ms() + 5000)
    assert not lease.is_valid
