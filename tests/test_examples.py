from pathlib import Path

import pytest

from bulrushbend.cli.checks import describe_manifest
from bulrushbend.core.manifest import load_manifest
from bulrushbend.core.settings import (
    AgentSettings,
    ControlSettings,
    RouterSettings,
    load_settings,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
SIZES = {"xanath": (5, 3), "voces-del-ande": (6, 3)}


def load_all(deployment, role, model):
    paths = sorted((EXAMPLES / deployment / "settings").glob(f"{role}-*.toml"))
    return [load_settings(path, model) for path in paths]


@pytest.mark.parametrize("deployment", SIZES)
def test_manifest_matches_the_deployment_sizes(deployment):
    # Guards against example manifests that differ from the deployments' sizes.
    manifest = load_manifest(EXAMPLES / deployment / "manifest.toml")
    model, application = (service.name for service in manifest.services)
    by_service = [endpoint.service for endpoint in manifest.endpoints]
    counts = (by_service.count(model), by_service.count(application))
    assert counts == SIZES[deployment]
    assert len(manifest.teams) == 16
    assert len({team.share for team in manifest.teams}) > 4
    assert describe_manifest(EXAMPLES / deployment / "manifest.toml")["slots"] > 0


@pytest.mark.parametrize("deployment", SIZES)
def test_every_endpoint_has_an_agent_in_its_location(deployment):
    # Guards against an agent whose VM or data centre differs from the manifest.
    manifest = load_manifest(EXAMPLES / deployment / "manifest.toml")
    agents = load_all(deployment, "agent", AgentSettings)
    locations = {agent.endpoint: (agent.vm, agent.data_centre) for agent in agents}
    assert locations == {e.name: (e.vm, e.data_centre) for e in manifest.endpoints}


@pytest.mark.parametrize("deployment", SIZES)
def test_every_data_centre_has_control_and_a_router(deployment):
    # Guards against a data centre without control or router, and peers that differ.
    control = load_all(deployment, "control", ControlSettings)
    routers = load_all(deployment, "router", RouterSettings)
    peers = [(c.name, c.link_address) for c in control]
    for group in (control, routers):
        assert len({settings.data_centre for settings in group}) == 3
        for settings in group:
            listed = [(peer.name, peer.address) for peer in settings.control]
            assert listed == peers
