"""Decoding of the platform's settings file.

The file is YAML; unknown keys are ignored.
"""

import os
from typing import NamedTuple

import yaml

from samphiredeal.platform.table import Limits

SETTINGS_VARIABLE = "SAMPHIREDEAL_CONFIG"


class Bounds(NamedTuple):
    """Time limits required by the platform's users, in seconds, and a factor."""

    config_apply_s: float
    config_stretch_s: float
    stop_grace_s: float
    lease_max_s: float
    gang_start_s: float
    state_kept_s: float
    # By which factor the run time of work rises if its data or the other members of
    # its gang are on another rack.
    far_factor: float


class PlatformSettings(NamedTuple):
    """Where this process runs, and the addresses that it serves and calls.

    Addresses are ``host:port`` and empty where the role has none.
    """

    node: str
    zone: str
    ip: str
    callers_address: str
    readiness_address: str
    # Where the worker on this VM sends its heartbeats.
    worker_calls_address: str
    # The worker's own address, to which only this VM may connect.
    worker_address: str
    link_port: int
    metrics_port: int
    store_address: str
    # The largest value of a row.
    store_row_bytes: int
    advice_address: str
    bounds: Bounds


class SettingsError(ValueError):
    """The settings file is invalid; the message names the field."""


def read_settings(path=None):
    """Return the settings in a file, by default that of `SETTINGS_VARIABLE`.

    Raise `SettingsError`, naming the field and its value, if they are invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE}: not set")
    try:
        with open(path, encoding="utf-8") as file:
            document = yaml.load(file, Loader=_LOADER)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: not YAML: {error}"[:300]) from error
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: expected a mapping, got {document!r}"[:300])
    try:
        return _decode(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise SettingsError(f"{path}: {type(error).__name__}: {error}") from error


_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _decode(document):
    listen = document.get("listen-addresses") or {}
    ports = document["internal-ports"]
    return PlatformSettings(
        node=document["node"],
        zone=document["zone"],
        ip=document["ip"],
        callers_address=listen.get("frontend") or "",
        readiness_address=listen.get("readiness") or "",
        worker_calls_address=listen.get("control") or "",
        worker_address=document.get("app") or "",
        link_port=int(ports[0]),
        metrics_port=int(ports[0]) + 1,
        store_address=document["platform"]["address"],
        store_row_bytes=int(document["platform"].get("row-bytes", Limits().row_bytes)),
        advice_address=document.get("advice") or "",
        bounds=_decode_bounds(document["bounds"]),
    )


def _decode_bounds(bounds):
    return Bounds(
        config_apply_s=bounds["config-apply-ms"] / 1000,
        config_stretch_s=bounds["max-stretch-ms"] / 1000,
        stop_grace_s=float(bounds["grace-s"]),
        lease_max_s=bounds["max-hold-ms"] / 1000,
        gang_start_s=bounds["gang-timeout-ms"] / 1000,
        state_kept_s=float(bounds["status_s"]),
        far_factor=float(bounds["remote-factor"]),
    )
