"""Tests of the loopback addresses for test rigs and tests."""

from bulrushbend.bench.addresses import free_address


def test_free_addresses_are_never_repeated():
    """Guards against two processes with one port: the system reuses released ports."""
    addresses = [free_address() for _ in range(1000)]
    assert len(set(addresses)) == 1000
