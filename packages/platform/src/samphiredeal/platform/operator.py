"""Decoding of the rows that the operator writes."""

from samphiredeal.model import untrusted
from samphiredeal.model.operations import AdviceTerms, ClientAccount, Operations, Queue

# The table that only the operator writes.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
_ZONE_OUT_PREFIX = "evacuate/"
# The operator's names, paths and keys may be longer than those of other writers.
_MAX_TEXT_CHARS = 4096


def decode_operations(value):
    """Return the `Operations` in a row's value; raise ValueError if unreadable."""
    try:
        document = untrusted.decode_json(value)
        return Operations(
            version=untrusted.integer("version", document["version"]),
            queues=tuple(_queue(route) for route in document.get("routes", ())),
            accounts=tuple(_account(tenant) for tenant in document.get("tenants", ())),
            guarded_services=tuple(
                _text(service, "name")
                for service in document.get("services", ())
                if service.get("admission-check")
            ),
            max_body_bytes=_integer(
                document.get("limits", {}), "max-body-bytes", 262_144
            ),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"configuration: {type(error).__name__}: {error}") from error


def zone_out_of(key):
    """Return the availability zone that a row's key labels as out, or None."""
    if key.startswith(_ZONE_OUT_PREFIX):
        return key[len(_ZONE_OUT_PREFIX) :]
    return None


def _integer(fields, name, default):
    return int(untrusted.number(name, fields.get(name, default)))


def _text(fields, name):
    return untrusted.text(name, fields[name], _MAX_TEXT_CHARS)


def _seconds(terms, name):
    return untrusted.number(name, terms.get(name, 0)) / 1000


def _queue(route):
    return Queue(
        name=_text(route, "name"),
        host=_text(route, "host"),
        path_prefix=_text(route, "path-prefix"),
        service=_text(route, "service"),
        priority=_integer(route, "priority", 1),
        max_attempts=_integer(route, "max-attempts", 1),
        stretch=float(untrusted.number("stretch", route.get("stretch", 1.0))),
        target_latency_ms=_integer(route, "target-latency-ms", 0),
        public=bool(route.get("public", False)),
        advice=_advice(route.get("advice")),
    )


def _advice(terms):
    if not terms:
        return None
    return AdviceTerms(
        decision_s=_seconds(terms, "decision-ms"),
        # The operator's "period" is the additional time for each worker in a query.
        per_worker_s=_seconds(terms, "period-ms"),
        valid_s=_seconds(terms, "validity-ms"),
    )


def _account(tenant):
    return ClientAccount(
        name=_text(tenant, "name"),
        keys=tuple(
            untrusted.text("api-keys", key, _MAX_TEXT_CHARS)
            for key in tenant.get("api-keys", ())
        ),
        guaranteed_accelerators=_integer(tenant.get("guaranteed", {}), "gpu", 0),
    )
