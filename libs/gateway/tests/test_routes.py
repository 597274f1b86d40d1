import random

from gateway_builders import make_route

from bulrushbend.core.manifest import Split
from bulrushbend.gateway.routes import RouteTable, choose_service


def test_longest_prefix_of_the_host_wins():
    # Guards against a request that runs at a service which its route does not name.
    table = RouteTable(
        [
            make_route("short", path_prefix="/a/"),
            make_route("long", path_prefix="/a/b/"),
            make_route("other", path_prefix="/a/b/c/", host="b.example"),
        ]
    )
    assert table.match("a.example", "/a/b/c/d?x=/a/").name == "long"
    assert table.match("A.example:80", "/a/bc").name == "short"
    assert table.match("a.example", "/b/") is None
    assert table.match("c.example", "/a/") is None
    assert table.match("a.example", "/a") is None


def test_root_prefix_matches_every_path():
    table = RouteTable([make_route("root", path_prefix="/")])
    assert table.match("a.example", "/x").name == "root"
    assert table.match("a.example", "*") is None


def test_services_are_chosen_by_weight():
    parts = (
        Split(service="a", weight=9),
        Split(service="b"),
        Split(service="c", weight=0),
    )
    route = make_route(split=parts)
    source = random.Random(1)
    chosen = [choose_service(route, source) for _ in range(1000)]
    assert 850 < chosen.count("a") < 950
    assert "c" not in chosen
