"""Builders of platform documents for the adapter tests."""

import json

from bulrushbend.platform.settings import MachineSettings

SETTINGS = """
node = "edge-papantla-1"
role = "gateway"
ip = "10.1.0.35"
zone = "papantla"
region = "totonacapan"
port_range = [7400,7415]
seeds = ["10.2.0.7:8785","10.1.0.35:8785","10.3.0.12:8785"]
bootstrap = true
data_dir = "/data/control"
a_field_of_tomorrow = 1
[listen]
front = "10.1.0.35:8783"
ready = "10.1.0.35:8780"
control = "10.1.0.35:8785"
[limits]
cpu_share = 0.688
cpu_speed = 2
memory_mb = 200
[fault_tolerance]
machines = 2
[bounds]
grace_s = 8
revoke_ms = 5000
retry_ratio = 0.2
retry_burst = 58
[cloud]
addr = "10.200.0.28:8781"
rate_per_s = 40.0
"""


def make_route(name="r-1", **fields):
    route = {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "type": "streaming",
        "timeout_ms": 15000,
        "slo_ms": 1000,
        "priority": 1,
        "service": "llm",
        "max_attempts": 2,
        "public": False,
        "resumable": True,
    }
    return route | fields


def make_config(version=7, **fields):
    config = {
        "version": version,
        "routes": [make_route()],
        "services": [
            {
                "name": "llm",
                "max_conns": 370,
                "backend": {"slots": 64, "kv_capacity": 9},
            },
            {"name": "app", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 105000,
        },
        "tenants": [{"name": "crew-a", "api_keys": ["k1", "k2"], "priority": 1}],
    }
    return config | fields


def encode(document):
    return json.dumps(document).encode()


def make_instance(name="i-1", **fields):
    instance = {
        "id": name,
        "service": "llm",
        "addr": "10.128.0.9:8080",
        "zone": "papantla",
        "slots": 64,
        "state": "ready",
    }
    return instance | fields


def make_unreadable_entries():
    """Return encoded entries of the instance list that are not valid, by their kind."""

    def entry(name="i-9", **fields):
        return encode(make_instance(name, **({"addr": "127.0.0.1:9"} | fields)))

    def with_field(value, name="x"):
        return b'%s,"%s":%s}' % (entry()[:-1], name.encode(), value)

    return {
        "nested": b"[" * 5_000 + b"]" * 5_000,
        "nested field": with_field(b'{"x":' * 5_000 + b"1" + b"}" * 5_000),
        "digits": with_field(b"1" * 5_000, "born"),
        "bytes": with_field(b'"\xff"'),
        "slots": entry(slots=10**40),
        "start": entry(born=10**20),
        "surrogate": entry("\ud800"),
        "port": entry(addr="127.0.0.1:99999"),
        "port digit": entry(addr="127.0.0.1:\u00b2"),
        "port 0": entry(addr="127.0.0.1:0"),
        "host": entry(addr="a..b:8080"),
        "nul": entry(addr="a\0b:8080"),
        "type": entry(state=["ready"], service={}),
    }


def make_invalid_sizes():
    """Return headers with a number of tokens that is invalid or too large."""
    sizes = ["-5", "1e400", "nan", "1_0", "\u00b2", "", str(1 << 31), "1" + 400 * "0"]
    return [
        *({"Token-Usage": f"{size},1"} for size in sizes),
        *({"Token-Usage": f"1,{size}"} for size in sizes if size),
        *({"Prefix-Hash": f"a:{size},b:1"} for size in sizes),
        {"Token-Usage": 5000 * "9"},
        {"Prefix-Hash": "a:1,b"},
    ]


def make_machine(ip, seeds, data_dir, **bounds):
    """Return the settings of a machine that runs a gateway and a control replica."""
    return MachineSettings.model_validate(
        {
            "node": f"edge-{ip}",
            "ip": ip,
            "zone": "papantla",
            "port_range": [7400, 7415],
            "seeds": [f"{seed}:8785" for seed in seeds],
            "data_dir": str(data_dir),
            "listen": {
                "front": f"{ip}:8783",
                "ready": f"{ip}:8780",
                "control": f"{ip}:8785",
            },
            "bounds": bounds,
        }
    )
