"""Validation of settings; each error names the file, the key and the value.

Comments are allowed, defaults are filled in, and unknown keys, wrong types and values
out of range are rejected.
"""

import json

import pytest

from samphiredeal.cli import porcelain
from samphiredeal.cli.settings import (
    AgentSettings,
    EntrySettings,
    SettingsError,
    load,
)

AGENT = {
    "name": "w1",
    "kind": "worker",
    "zone": "a",
    "entries": ["127.0.0.1:7000"],
    "upstream_url": "http://127.0.0.1:9000",
}


ENTRY = {
    "name": "e",
    "zone": "a",
    "region": "r",
    "host": "127.0.0.1",
    "port": 7000,
    "http_port": 80,
    "platform_url": "http://127.0.0.1:1",
}


def write(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return path


def test_comments_and_defaults(tmp_path):
    text = json.dumps(AGENT)[:-1] + ', // its rack\n "rack": "r1", /* last */}'
    settings = load(write(tmp_path, text), AgentSettings)
    assert settings["rack"] == "r1"
    assert settings["slots"] == 8


FAULTS = [
    ({"slotz": 3}, "slotz: unknown key"),
    ({"capacity": {"cpu_milli": 1, "memory_mb": 1, "gpus": 1}}, "capacity.gpus"),
    ({"slots": 0}, "slots: 0"),
    ({"kind": "robot"}, "'robot'"),
    ({"entries": []}, "entries: []"),
    ({"zone": 7}, "zone"),
]


@pytest.mark.parametrize(("change", "text"), FAULTS)
def test_errors_name_key_and_value(tmp_path, change, text):
    path = write(tmp_path, {**AGENT, **change})
    with pytest.raises(SettingsError) as error:
        load(path, AgentSettings)
    assert text in str(error.value)
    assert str(path) in str(error.value)


def test_port_out_of_range(tmp_path):
    with pytest.raises(SettingsError, match="port: 70000"):
        load(write(tmp_path, {**ENTRY, "port": 70000}), EntrySettings)


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("", "the file is empty"),
        (" \n", "the file is empty"),
        ('{"name": "a", "name": "b"}', "name"),
        ("{", "not JSON with comments"),
    ],
)
def test_error_names_the_malformed_file(tmp_path, text, fault):
    path = tmp_path / "settings.json"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load(str(path), EntrySettings)
    assert fault in str(error.value)


def test_help_lists_the_roles(capsys):
    with pytest.raises(SystemExit):
        porcelain.run(["--help"])
    shown = capsys.readouterr().out
    assert "Run an entry" in shown and "Run an agent" in shown


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(SettingsError, match="cannot be read"):
        load(tmp_path / "none.json", EntrySettings)


def test_ports_of_one_address_must_differ(tmp_path):
    entry = {**ENTRY, "http_port": 7000}
    with pytest.raises(SettingsError, match="http_port: 7000 is also port"):
        load(write(tmp_path, entry), EntrySettings)
    other_host = {**entry, "http_host": "127.0.0.2"}
    assert load(write(tmp_path, other_host), EntrySettings)["http_port"] == 7000


@pytest.mark.parametrize("document", ["{", "@no-such-file.json"])
def test_job_that_cannot_be_read_is_a_usage_error(capsys, document):
    assert porcelain.submit(document) == 2
    assert capsys.readouterr().err.startswith("job: ")
