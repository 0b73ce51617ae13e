"""Callers may connect while an entry is still starting."""

import socket
import sys
import types

from samphiredeal.cli import main
from samphiredeal.platform import settings
from samphiredeal.platform.settings import SETTINGS_VARIABLE
from samphiredeal.standins.launch import HOST, free_port

SETTINGS = """
node: e0
zone: a
ip: {host}
listen-addresses: {{frontend: "{host}:{port}", readiness: "{host}:0"}}
internal-ports: [7000, 7015]
platform: {{address: "{host}:1"}}
bounds:
  config-apply-ms: 2000
  max-stretch-ms: 5000
  grace-s: 6
  max-hold-ms: 6000
  gang-timeout-ms: 3000
  status_s: 120
  remote-factor: 3
"""


# Guards against refused connections during start-up (inc-short, hunt-63b2-15): the
# only pending repertoire check was refused 30 ms before its entry, which was
# restarting after a power loss, listened.
def test_entry_accepts_connections_before_its_libraries_are_imported(
    tmp_path, monkeypatch
):
    port = free_port()
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS.format(host=HOST, port=port))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    connected = []

    def run_entry(given, callers):
        with socket.create_connection((HOST, port), timeout=1.0):
            connected.append(given)
        callers.close()

    stub = types.ModuleType("samphiredeal.cli.platform_roles")
    stub.run_entry = run_entry
    monkeypatch.setitem(sys.modules, "samphiredeal.cli.platform_roles", stub)
    monkeypatch.setattr("samphiredeal.cli.platform_roles", stub, raising=False)
    assert main.run_role("entry") == 0
    assert connected == [settings.read_settings()]
