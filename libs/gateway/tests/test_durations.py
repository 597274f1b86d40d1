from bulrushbend.gateway.durations import Durations


def test_estimate_covers_nearly_all_requests():
    # Guards against streams that a stopping gateway takes and then cuts.
    durations = Durations()
    taken = [1000.0, 3000.0] * 50
    for one in taken:
        durations.note("plan", one)
    assert 3000 <= durations.most_ms("plan") <= 6000


def test_unknown_route_is_taken():
    assert Durations().most_ms("plan") == 0
