import pytest

from bulrushbend.core.errors import ManifestError, SettingsError
from bulrushbend.core.manifest import hash_token, load_manifest, parse_manifest
from bulrushbend.core.settings import RouterSettings, load_settings

TEXT = f"""
version = 3
[[services]]
name = "flor-llm"
kind = "model"
[[teams]]
name = "crew-a"
token_sha256 = "{hash_token("secret-a")}"
[[endpoints]]
name = "flor-1"
service = "flor-llm"
vm = "vm-1"
data_centre = "papantla"
"""


def test_canonical_form_parses_to_the_same_digest():
    manifest = parse_manifest(TEXT)
    assert parse_manifest(manifest.canonical()).digest == manifest.digest


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("version = 3", "version = 0", "version"),
        ('service = "flor-llm"', 'service = "flor"', "unknown service 'flor'"),
        ('kind = "model"', 'kind = "models"', "'model' or 'application'"),
        ("version = 3", "version = 3\nextra = 1", "extra"),
        ("version = 3", "version = ", "Invalid value"),
    ],
)
def test_error_for_invalid_manifest_names_the_key(old, new, expected):
    with pytest.raises(ManifestError, match=expected):
        parse_manifest(TEXT.replace(old, new))


def test_missing_manifest_file_raises_manifest_error(tmp_path):
    with pytest.raises(ManifestError, match="No such file"):
        load_manifest(tmp_path / "none.toml")


def test_error_for_invalid_settings_names_file_and_key(tmp_path):
    path = tmp_path / "router.toml"
    path.write_text('name = "r1"\nhttp_address = "127.0.0.1"\n')
    with pytest.raises(SettingsError) as caught:
        load_settings(path, RouterSettings)
    assert "http_address" in str(caught.value)
    assert str(path) in str(caught.value)
