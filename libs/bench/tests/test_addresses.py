"""Addresses for rigs and tests."""

from bulrushbend.bench.addresses import free_address


def test_two_processes_of_a_rig_never_get_the_same_address():
    """A port that was drawn and released is drawn again for another process."""
    addresses = [free_address() for _ in range(1000)]
    assert len(set(addresses)) == 1000
