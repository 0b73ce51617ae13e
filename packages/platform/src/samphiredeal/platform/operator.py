"""Decoding of the rows that the operator writes."""

import msgspec

from samphiredeal.model.operations import AdviceTerms, ClientAccount, Operations, Queue

# The table that only the operator writes.
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
_ZONE_OUT_PREFIX = "evacuate/"


def decode_operations(value):
    """Return the `Operations` in a row's value; raise ValueError if unreadable."""
    try:
        document = msgspec.json.decode(value)
        return Operations(
            version=int(document["version"]),
            queues=tuple(_queue(route) for route in document.get("routes", ())),
            accounts=tuple(_account(tenant) for tenant in document.get("tenants", ())),
            guarded_services=tuple(
                service["name"]
                for service in document.get("services", ())
                if service.get("admission-check")
            ),
            max_body_bytes=int(
                document.get("limits", {}).get("max-body-bytes", 262_144)
            ),
        )
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"configuration: {type(error).__name__}: {error}") from error


def zone_out_of(key):
    """Return the availability zone that a row's key labels as out, or None."""
    if key.startswith(_ZONE_OUT_PREFIX):
        return key[len(_ZONE_OUT_PREFIX) :]
    return None


def _queue(route):
    return Queue(
        name=route["name"],
        host=route["host"],
        path_prefix=route["path-prefix"],
        service=route["service"],
        priority=int(route.get("priority", 1)),
        max_attempts=int(route.get("max-attempts", 1)),
        stretch=float(route.get("stretch", 1.0)),
        target_latency_ms=int(route.get("target-latency-ms", 0)),
        public=bool(route.get("public", False)),
        advice=_advice(route.get("advice")),
    )


def _advice(terms):
    if not terms:
        return None
    return AdviceTerms(
        decision_s=terms.get("decision-ms", 0) / 1000,
        # The operator's "period" is the additional time for each worker in a query.
        per_worker_s=terms.get("period-ms", 0) / 1000,
        valid_s=terms.get("validity-ms", 0) / 1000,
    )


def _account(tenant):
    return ClientAccount(
        name=tenant["name"],
        keys=tuple(tenant.get("api-keys", ())),
        guaranteed_accelerators=int(tenant.get("guaranteed", {}).get("gpu", 0)),
    )
