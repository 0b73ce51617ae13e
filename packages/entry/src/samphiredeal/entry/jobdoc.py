"""Validation of the documents with which callers submit jobs."""

import msgspec

from samphiredeal.model import configuration as config
from samphiredeal.model import job as jobs
from samphiredeal.model import selector
from samphiredeal.model.job import Job
from samphiredeal.model.shape import Shape

MAX_MEMBERS = 4096
MAX_DECLARED_DURATION_S = 366 * 24 * 3600.0

_FIELDS = {
    "id": str,
    "account": str,
    "cpu_milli": int,
    "memory_mb": int,
    "accelerators": int,
    "members": int,
    "class": str,
    "adjacency": str,
    "selector": str,
    "movable": bool,
    "repeatable": bool,
    "declared_s": float,
    "kind": str,
    "command": str,
    "labels": dict[str, str],
}


def job_from_document(document, new_id):
    """Return the job of a submitted document.

    Raise a `DocumentError` that names the invalid field and its value.
    """
    config.check_keys(document, _FIELDS, "job")
    values = {}
    for field, kind in _FIELDS.items():
        if field in document:
            try:
                values[field] = msgspec.convert(document[field], kind)
            except msgspec.ValidationError as error:
                raise config.DocumentError(
                    f"job.{field}: {document[field]!r}: {error}"
                ) from error
    if "account" not in values:
        raise config.DocumentError("job.account: missing")
    shape = Shape(*[values.pop(field, 0) for field in Shape._fields])
    _check_amounts(shape, values)
    _check_choices(values)
    klass = values.pop("class", jobs.NORMAL)
    job_id = values.pop("id", None) or new_id
    config.check_name(job_id)
    return Job(id=job_id, shape=shape, klass=klass, **values)


def _check_amounts(shape, values):
    for field, amount in shape._asdict().items():
        if not 0 <= amount <= config.MAX_AMOUNT:
            raise config.DocumentError(f"job.{field}: {amount} is out of range")
    if not any(shape):
        raise config.DocumentError("job.cpu_milli: 0, and no other resource requested")
    members = values.get("members", 1)
    if not 1 <= members <= MAX_MEMBERS:
        raise config.DocumentError(f"job.members: {members} is not 1 to {MAX_MEMBERS}")
    declared_s = values.get("declared_s", 1.0)
    if not 0 < declared_s <= MAX_DECLARED_DURATION_S:
        raise config.DocumentError(
            f"job.declared_s: {declared_s} is not within 0 to {MAX_DECLARED_DURATION_S}"
        )


def _check_choices(values):
    for field, choices in (("class", jobs.CLASSES), ("adjacency", jobs.ADJACENCIES)):
        value = values.get(field, choices[0])
        if value not in choices:
            raise config.DocumentError(
                f"job.{field}: {value!r} is not one of {', '.join(choices)}"
            )
    try:
        selector.parse(values.get("selector", ""))
    except selector.SelectorError as error:
        raise config.DocumentError(f"job.selector: {error}") from error
