"""The configuration tool writes only valid files, and its errors name the key; the files shipped are valid."""

import json
import tomllib

import pytest

from leadslip import config, configure, parts
from leadslip.parts.logs.settings import LogsConfig

SOURCE = (configure.Path(__file__).parent.parent / "example" / "applications.toml").read_text()


@pytest.fixture
def source(tmp_path):
    def write(text):
        (tmp_path / "applications.toml").write_text(text)
        return str(tmp_path / "applications.toml")

    return write


def test_each_application_gets_valid_files(source, tmp_path, capsys):
    assert configure.main(["write", source(SOURCE), str(tmp_path / "out")]) == 0
    names = sorted(path.name for path in (tmp_path / "out").iterdir())
    assert names == ["siren-desk", "voice-alerts"]
    seeds = set()
    for name in names:
        folder = tmp_path / "out" / name
        conf = config.load({"NODE_CONFIG": str(folder / "config.json")})
        seeds.add(conf.seed)
        assert conf.name == name and len(conf.known_notices[0].addresses) == 1
        assert configure.main(["check", *map(str, folder.iterdir())]) == 0
    assert len(seeds) == 2
    enum = tmp_path / "out" / "voice-alerts" / "enum.toml"
    assert parts.read_settings(conf, {"LEADSLIP_ENUM": str(enum)})["enum"].resolvers == (("127.0.0.1", 5301),)
    assert not (tmp_path / "out" / "siren-desk" / "enum.toml").exists()
    capsys.readouterr()


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        (
            'listen = "127.0.0.1:5061"',
            'listen = "127.0.0.1:5060"',
            "application.1.listen is taken by siren-desk",
        ),
        ('listen = "127.0.0.1:5061"', 'listen = "nowhere"', "listen is no address:port"),
        ('name = "voice-alerts"', 'name = "../x"', "application.1.name"),
        ('name = "voice-alerts"', 'nome = "x"', "application.1.nome is unknown"),
        ("tick_ms = 5.0", 'tick_ms = "x"', "settings.tick_ms is no number"),
        ("most_tries = 4", "most_tries = 0", "settings.limits.most_tries"),
        ("pod_group = 0", "pod_grup = 0", "servers.0.pod_grup is unknown"),
        ("enabled = true", "enabled = 1", "enum.enabled"),
        ('resolvers = ["127.0.0.1:5301"]', "resolvers = []", "enum.resolvers is empty"),
        ("attempt_ms = 400", "attempt_ms = -1", "enum.attempt_ms"),
        ("board =", "bored =", "bored is unknown"),
    ],
)
def test_an_error_names_its_key_and_nothing_is_written(source, tmp_path, capsys, old, new, key):
    assert old in SOURCE
    path = source(SOURCE.replace(old, new))
    assert configure.main(["write", path, str(tmp_path / "out")]) == 2
    assert configure.main(["check", path]) == 2
    assert key in capsys.readouterr().err and not (tmp_path / "out").exists()


def test_the_files_under_deploy_are_valid_and_disable_their_parts():
    root = configure.Path(__file__).parent.parent
    for name in parts.NAMES:
        table = tomllib.loads((root / "deploy" / f"{name}.toml").read_text())
        validate, context = (
            parts.settings_class(name).parse,
            parts.SettingsContext(settings={"store": True, "fleet": True}),
        )
        assert validate(table, context) == (LogsConfig() if name == "logs" else None)
        with pytest.raises(config.MalformedError, match="odd is unknown"):
            validate(table | {"odd": 1}, context)
        if name != "logs":
            assert validate(table | {"enabled": True}, context) is not None


def test_the_example_configuration_is_valid():
    path = configure.Path(__file__).parent.parent / "example" / "config.json"
    assert config.parse_config(json.loads(path.read_text())).name == "example"


# The store and the trunk group of an application, to be completed with a file name and a call class.
STORE_TABLES = """
[application.store]
enabled = true
path = "/var/lib/leadslip/{}.db"
[application.trunks]
enabled = true
[[application.trunks.group]]
name = "north"
destinations = [0]
trunks = 30
[application.trunks.group.reserve]
"{}" = 2
"""


def test_stores_and_trunk_groups_are_written_and_a_store_file_used_twice_is_refused(source, tmp_path, capsys):
    first, second = SOURCE.rstrip().rsplit("[[application]]", 1)
    text = first + STORE_TABLES.format("a", "resident-call") + "\n[[application]]" + second

    def write(store, call_class):
        """Writes both applications, the first with the store `a`; `store` and `call_class` are of the second."""
        return configure.main(
            ["write", source(text + STORE_TABLES.format(store, call_class)), str(tmp_path / store)]
        )

    assert write("b", "officer-call") == 0
    for name, call_class in (("siren-desk", "resident-call"), ("voice-alerts", "officer-call")):
        folder = tmp_path / "b" / name
        table = tomllib.loads((folder / "trunks.toml").read_text())
        (group,) = (
            parts.settings_class("trunks")
            .parse(table, parts.SettingsContext(settings={"store": True}))
            .groups
        )
        assert (group.name, group.reserve) == ("north", {call_class: 2})
        assert configure.main(["check", *map(str, folder.iterdir())]) == 0
    assert write("a", "officer-call") == 2 and write("c", "other") == 2
    stderr = capsys.readouterr().err
    assert (
        "application.1.store.path is taken by siren-desk" in stderr and "reserve.other is no class" in stderr
    )
