"""The platform's settings file is loaded into `InstanceSettings`."""

import pytest

from waxwingshelf.platform.settings import Endpoint, InvalidSettingsError, load_settings

SETTINGS_TEXT = """
[self]
node_name = "frontend-1"
zone = "north-1"
region = "north"
serves = ["frontend"]
later_field = 3
[self.limits]
memory_mb = 152
link_mbps = 5.5
[network]
internal_ports = [7740, 7755]
seed_nodes = ["10.1.0.35:8688"]
[network.listen]
frontend = "10.1.0.35:8686"
ready = "10.1.0.35:8680"
control_plane = "10.1.0.35:8688"
directory = "10.1.0.35:8684"
[network.zones]
north-1 = "north"
[platform.platform]
address = "10.200.1.7:8682"
[terms.bounds]
grace_period_s = 6
ttl_max_s = 5
"""


def test_settings_are_loaded_and_unknown_fields_ignored(tmp_path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS_TEXT)
    settings = load_settings(path)
    assert settings.name == "frontend-1"
    assert settings.callers == Endpoint("10.1.0.35", 8686)
    assert settings.store == Endpoint("10.200.1.7", 8682)
    assert settings.regions == {"north-1": "north"}
    assert settings.bounds.grace_period_ms == 6_000
    assert settings.memory_mb == 152
    assert settings.link_mbps == 5.5


def test_limits_of_the_machine_may_be_missing(tmp_path) -> None:
    """Settings of platforms that tell no limits must still load."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS_TEXT.replace("[self.limits]", "[self.later_table]"))
    settings = load_settings(path)
    assert (settings.memory_mb, settings.link_mbps) == (0, 0)


@pytest.mark.parametrize(
    ("old", "new", "location"),
    [
        ('zone = "north-1"\n', "", "zone"),
        ('frontend = "10.1.0.35:8686"', 'frontend = "10.1.0.35"', "HOST:PORT"),
        ("[7740, 7755]", "[7740]", "internal_ports"),
        ("[self]", "[self", "line"),
    ],
)
def test_invalid_settings_error_names_the_location(tmp_path, old, new, location) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS_TEXT.replace(old, new))
    with pytest.raises(InvalidSettingsError, match=location):
        load_settings(path)
