import pytest
from platform_builders import SETTINGS

from bulrushbend.core.errors import SettingsError
from bulrushbend.platform.settings import (
    control_settings,
    gateway_settings,
    read_machine_settings,
)


@pytest.fixture
def machine(tmp_path, monkeypatch):
    def read(text):
        path = tmp_path / "boot.toml"
        path.write_text(text)
        monkeypatch.setenv("BULRUSHBEND_SETTINGS", str(path))
        return read_machine_settings()

    return read


def test_machine_settings_are_converted_for_both_daemons(machine):
    # Guards against daemons of one machine with wrong or conflicting addresses.
    settings = machine(SETTINGS)
    gateway, control = gateway_settings(settings), control_settings(settings)
    assert gateway.front_address == "10.1.0.35:8783"
    assert gateway.spread_address == "10.1.0.35:7401"
    assert gateway.lease_ms < 5000
    assert gateway.processor == pytest.approx(1.376)
    assert control.link_address == "10.1.0.35:7400"
    assert control.voters == 5
    names = [replica.name for replica in control.control]
    assert names == ["10.1.0.35", "10.2.0.7", "10.3.0.12"]
    assert control.name in names


@pytest.mark.parametrize(
    "text", ["", "node =", SETTINGS.replace("[7400,7415]", '"many"')]
)
def test_invalid_settings_raise_a_settings_error(machine, text):
    # Guards against an error that does not name the settings file.
    with pytest.raises(SettingsError, match=r"boot\.toml"):
        machine(text)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("[7400,7415]", "[65535,65535]"),
        ("[7400,7415]", "[0,0]"),
        ("[7400,7415]", "[99999,99999]"),
        ('seeds = ["', 'seeds = ["nowhere","'),
        ('seeds = ["', 'seeds = ["10.2.0.7:99999","'),
        ("10.1.0.35:8783", "10.1.0.35:99999"),
        ("grace_s = 8", "grace_s = inf"),
        ("grace_s = 8", "grace_s = nan"),
        ("grace_s = 8", "grace_s = 1e300"),
        ("revoke_ms = 5000", "revoke_ms = inf"),
        ("retry_ratio = 0.2", "retry_ratio = nan"),
        ("a_field_of_tomorrow = 1", "a_field = " + 5000 * "[" + 5000 * "]"),
        ("a_field_of_tomorrow = 1", "a_field = " + 5000 * "1"),
    ],
    ids=range(13),
)
def test_settings_out_of_range_raise_a_settings_error(machine, old, new):
    # Guards against a process that ends, or does not reload its settings any more.
    assert old in SETTINGS
    with pytest.raises(SettingsError):
        gateway_settings(machine(SETTINGS.replace(old, new)))


def test_control_needs_a_disk(machine):
    # Guards against control that starts without a place for its data.
    settings = machine(SETTINGS.replace("data_dir", "other_dir"))
    with pytest.raises(SettingsError, match="data_dir"):
        control_settings(settings)


def test_missing_file_raises_a_settings_error(monkeypatch, tmp_path):
    # Guards against an OSError that is not reported as an error of the settings.
    monkeypatch.setenv("BULRUSHBEND_SETTINGS", str(tmp_path / "none"))
    with pytest.raises(SettingsError):
        read_machine_settings()
