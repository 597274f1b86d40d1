"""Metrics of a control replica."""

from prometheus_client import Gauge

TERM = Gauge("bulrushbend_control_term", "Latest term seen", ["replica"])
COMMIT_INDEX = Gauge(
    "bulrushbend_control_commit_index", "Last committed entry", ["replica"]
)
LEADS = Gauge("bulrushbend_control_leads", "1 while the replica leads", ["replica"])
MAY_VOTE = Gauge(
    "bulrushbend_control_may_vote", "1 while the replica is a voter", ["replica"]
)
STORE_FAILED = Gauge(
    "bulrushbend_control_store_failed", "1 after a store failure", ["replica"]
)
MANIFEST_VERSION = Gauge(
    "bulrushbend_control_manifest_version", "Accepted manifest version", ["replica"]
)
MEMBERS = Gauge("bulrushbend_control_members", "Members that report", ["replica"])
WATCHERS = Gauge("bulrushbend_control_watchers", "Open watch streams", ["replica"])
KEYS = Gauge("bulrushbend_control_keys", "Idempotency keys kept", ["replica"])
