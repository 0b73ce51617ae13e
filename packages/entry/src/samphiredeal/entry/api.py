"""The HTTP API of callers and operators; documented in docs/API.md."""

import re

from eliot import start_task
from twisted.web.resource import Resource

from samphiredeal.entry import http
from samphiredeal.entry.configstore import InDoubt, LostRace
from samphiredeal.entry.http import BadRequest, Endpoint
from samphiredeal.entry.jobdoc import job_from_document
from samphiredeal.entry.jobstore import encode_job
from samphiredeal.entry.requests import Request
from samphiredeal.model import configuration as config
from samphiredeal.model import job as jobs
from samphiredeal.model import verdict
from samphiredeal.platform.table import Unavailable

MAX_KEY_LENGTH = 256
DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 600_000
MAX_PAGE = 500

_KEY = re.compile(r"^[\x21-\x2e\x30-\x7e]+$")
# Reasons whose status is not 503.
_STATUS_BY_REASON = {
    verdict.KEY_REUSED.code: 409,
    verdict.OVERLOADED.code: 429,
    verdict.DEADLINE.code: 429,
}


def make_api(node, metrics, clock):
    """Return the root resource of an entry's HTTP API."""
    root = Resource()
    v1 = Resource()
    root.putChild(b"v1", v1)
    root.putChild(b"livez", Endpoint(GET=_live))
    root.putChild(b"readyz", Endpoint(GET=_bind(_ready, node)))
    root.putChild(b"metrics", Endpoint(GET=_bind(_metrics, node, metrics)))
    v1.putChild(b"requests", Endpoint(POST=_bind(_request, node, metrics, clock)))
    job_endpoint = Endpoint(
        GET=_bind(_get_job, node),
        POST=_bind(_submit_job, node),
        DELETE=_bind(_cancel_job, node),
    )
    v1.putChild(b"jobs", job_endpoint)
    for kind in config.KINDS:
        v1.putChild(
            f"{kind}s".encode(),
            Endpoint(
                GET=_bind(_get_document, node, kind),
                PUT=_bind(_put_document, node, kind),
                DELETE=_bind(_delete_document, node, kind),
            ),
        )
    v1.putChild(b"report", Endpoint(GET=_bind(_report, node)))
    v1.putChild(b"config", Endpoint(GET=_bind(_get_config, node)))
    return root


def _bind(handler, *arguments):
    """Return a handler of a request with the first arguments bound."""

    async def handle(request):
        return await handler(*arguments, request)

    return handle


async def _live(request):
    return 200, {"live": True}


async def _ready(node, request):
    return (200 if node.ready else 503), {"ready": node.ready}


async def _metrics(node, metrics, request):
    metrics.set("queue_depth", node.router.waiting)
    metrics.set("revision", node.config.current.revision)
    metrics.set("confirm_age", min(node.confirmation.age_s(), 1e6))
    metrics.set("epoch", node.epoch)
    metrics.set("store_down", int(node.confirmation.store_unresponsive))
    metrics.set("agents", sum(1 for _ in node.sessions))
    if node.host is not None:
        metrics.set("jobs_waiting", len(node.host.scheduler.queue))
    return 200, metrics.render()


async def _report(node, request):
    return 200, await node.report()


# Requests


async def _request(node, metrics, clock, request):
    started_at = clock.seconds()
    parsed = _parse_request(node, request, started_at)
    # Started without a logging context, since requests overlap within one thread.
    task = start_task(
        action_type="request",
        request_id=parsed.request_id,
        account=parsed.account,
        key=parsed.key,
        request_class=parsed.klass,
    )
    try:
        outcome = await _serve(node, parsed)
    except Exception as error:
        task.finish(error)
        raise
    reason = outcome.reason.code if outcome.reason else ""
    task.add_success_fields(verdict=outcome.verdict, reason=reason)
    task.finish()
    seconds = clock.seconds() - started_at
    metrics.request_ended(parsed.account, parsed.klass, outcome, seconds)
    objective_s = node.config.current.accounts.get(parsed.account, {}).get(
        "objective_s", float("inf")
    )
    node.counts.request(parsed.account, parsed.klass, outcome, seconds, objective_s)
    return _answer_outcome(request, outcome)


async def _serve(node, parsed):
    refused = node.refusal_reason()
    if refused is not None:
        return verdict.not_run(refused)
    return await node.requests.serve(parsed)


def _parse_request(node, request, now):
    account = http.header(request, "Samphiredeal-Account")
    if account not in node.config.current.accounts:
        raise BadRequest(f"Samphiredeal-Account: {account!r} is unknown", 404)
    klass = http.header(request, "Samphiredeal-Class", jobs.NORMAL)
    if klass not in jobs.CLASSES:
        raise BadRequest(f"Samphiredeal-Class: {klass!r} is not urgent or normal")
    repeatable = http.header(request, "Samphiredeal-Repeatable", "yes")
    if repeatable not in ("yes", "no"):
        raise BadRequest(f"Samphiredeal-Repeatable: {repeatable!r} is not yes or no")
    key = http.header(request, "Samphiredeal-Key")
    if repeatable == "no":
        _check_key(key)
    first_try = http.header(request, "Samphiredeal-First-Try", "no")
    if first_try not in ("yes", "no"):
        raise BadRequest(f"Samphiredeal-First-Try: {first_try!r} is not yes or no")
    deadline_ms = http.number_header(
        request, "Samphiredeal-Deadline-Ms", DEFAULT_DEADLINE_MS, 1, MAX_DEADLINE_MS
    )
    return Request(
        account,
        klass,
        now + deadline_ms / 1000,
        key,
        repeatable == "yes",
        request.content.read(),
        first_try == "yes",
        node.new_id(),
    )


def _check_key(key):
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        raise BadRequest(
            f"Samphiredeal-Key: length {len(key)} is not 1 to {MAX_KEY_LENGTH}"
        )
    if not _KEY.match(key):
        raise BadRequest(
            f"Samphiredeal-Key: {key!r} must not contain a space or a slash"
        )


def _answer_outcome(request, outcome):
    request.setHeader(http.VERDICT_HEADER, outcome.verdict.encode())
    if outcome.reason is not None:
        request.setHeader(http.REASON_HEADER, outcome.reason.code.encode())
    if outcome.verdict == verdict.RAN:
        return outcome.status, outcome.body
    document = {
        "verdict": outcome.verdict,
        "reason": outcome.reason.code if outcome.reason else "",
        "error": outcome.reason.text if outcome.reason else "",
    }
    if outcome.verdict == verdict.MAY_HAVE_RUN:
        return 504, document
    return _STATUS_BY_REASON.get(document["reason"], 503), document


# Jobs


def _path_name(request):
    return (
        request.postpath[0].decode() if request.postpath and request.postpath[0] else ""
    )


async def _submit_job(node, request):
    if node.draining:
        raise BadRequest(verdict.DRAINING.text, 503)
    try:
        job = job_from_document(http.json_body(request), node.new_id())
    except config.DocumentError as error:
        raise BadRequest(str(error)) from error
    if job.account not in node.config.current.accounts:
        raise BadRequest(f"job.account: {job.account!r} is unknown", 404)
    missing = await node.query_holder("refusal", {"job": job._asdict()})
    if missing is not None:
        raise BadRequest(f"job cannot run on any worker: {missing}", 422)
    nonce = node.new_id()
    record = await node.jobs.submit(job, nonce, node.wall_seconds())
    if isinstance(record, Unavailable):
        request.setHeader(http.VERDICT_HEADER, b"may-have-run")
        text = "the table does not answer; submit again under the same id"
        return 503, {"id": job.id, "verdict": verdict.MAY_HAVE_RUN, "error": text}
    if record.nonce == nonce:
        node.notify_job("submit", job.id, job)
        return 201, _job_document(record)
    if encode_job(record.job) != encode_job(job):
        raise BadRequest(f"job.id: {job.id!r} is in use by another job", 409)
    return 200, _job_document(record)


async def _get_job(node, request):
    job_id = _path_name(request)
    if not job_id:
        return await _list_jobs(node, request)
    found = await node.jobs.read(job_id)
    if isinstance(found, Unavailable):
        raise BadRequest("the table does not answer; try again", 503)
    if found is None:
        raise BadRequest(f"job.id: {job_id!r} is unknown", 404)
    document = _job_document(found.record)
    if found.record.state == "active":
        document["explain"] = await node.query_holder("explain", {"job": job_id})
    return 200, document


async def _list_jobs(node, request):
    state = http.query(request, "state", "active")
    if state not in ("active", "ended"):
        raise BadRequest(f"state: {state!r} is not active or ended")
    text = http.query(request, "limit", "100")
    if not text.isdigit() or not 1 <= int(text) <= MAX_PAGE:
        raise BadRequest(f"limit: {text!r} is not within 1 to {MAX_PAGE}")
    account = http.query(request, "account")
    page = await node.jobs.list(state, http.query(request, "after"), int(text))
    if isinstance(page, Unavailable):
        raise BadRequest("the table does not answer; try again", 503)
    following = page[-1].job.id if len(page) == int(text) else ""
    records = [r for r in page if not account or r.job.account == account]
    return 200, {"jobs": [_job_document(r) for r in records], "after": following}


async def _cancel_job(node, request):
    job_id = _path_name(request)
    record = await node.jobs.cancel(job_id)
    if isinstance(record, Unavailable):
        text = "the table does not answer; cancel again"
        raise BadRequest(text, 503, verdict.MAY_HAVE_RUN)
    if record is None:
        raise BadRequest(f"job.id: {job_id!r} is unknown", 404)
    if record.state == "active":
        node.notify_job("cancel", job_id)
    return 202, _job_document(record)


def _job_document(record):
    job = record.job
    fields = job._asdict()
    fields.pop("klass")
    fields.update({"class": job.klass, **fields.pop("shape")._asdict()})
    return {
        "id": job.id,
        "state": record.state,
        "reason": record.reason,
        "cancelled": record.cancelled,
        "job": fields,
    }


# Configuration


async def _get_document(node, kind, request):
    name = _path_name(request)
    current = node.config.current
    if not name:
        documents = current.documents(kind)
        if kind == config.WORKER:
            workers = await node.query_holder("workers", {})
            return 200, {"documents": documents, "workers": workers or []}
        return 200, {"revision": current.revision, "documents": documents}
    document = current.documents(kind).get(name)
    if document is None:
        raise BadRequest(f"{kind}: {name!r} is unknown", 404)
    version = node.config.version_of(kind, name)
    request.setHeader(b"ETag", f'"{version}"'.encode())
    return 200, document


async def _put_document(node, kind, request):
    name = _path_name(request)
    try:
        config.check_name(name)
        document = config.check_document(kind, http.json_body(request))
    except config.DocumentError as error:
        raise BadRequest(str(error)) from error
    warnings = []
    if kind == config.ACCOUNT:
        warnings = await _check_guarantees(node, name, document)
    return await _change(node, kind, name, document, request, warnings)


async def _delete_document(node, kind, request):
    name = _path_name(request)
    if name not in node.config.current.documents(kind):
        raise BadRequest(f"{kind}: {name!r} is unknown", 404)
    return await _change(node, kind, name, None, request, [])


async def _check_guarantees(node, name, document):
    """Return warnings about the accounts' guarantees.

    Raise `BadRequest` if the workers cannot hold all accounts' guarantees at once.
    """
    current = node.config.current
    accounts = {**current.accounts, name: document}
    proposed = current._replace(accounts=accounts)._asdict()
    checked = await node.query_holder("check", proposed)
    if checked is None:
        return ["the guarantees were not checked because no scheduler answered"]
    if checked["refused"]:
        raise BadRequest(f"account.guarantee: {checked['refused']}", 422)
    return checked["warnings"]


async def _change(node, kind, name, document, request, warnings):
    answer = await node.change(kind, name, document, _expected_version(request))
    if isinstance(answer, LostRace):
        return 409, {
            "error": f"{kind} {name!r} was changed concurrently; read it and try again",
            "verdict": verdict.NOT_RUN,
            "version": answer.version,
            "winner": answer.document,
        }
    if isinstance(answer, InDoubt):
        request.setHeader(http.VERDICT_HEADER, b"may-have-run")
        return 503, {
            "error": f"the outcome of the change is unknown: {answer.reason}",
            "verdict": verdict.MAY_HAVE_RUN,
        }
    revision = answer.change.revision
    request.setHeader(b"ETag", f'"{revision}"'.encode())
    return 200, {
        "revision": revision,
        "lagging": node.lagging(revision),
        "warnings": warnings,
    }


def _expected_version(request):
    text = http.header(request, "If-Match", "*").strip('"')
    if text == "*":
        return None
    if not text.isdigit():
        raise BadRequest(f"If-Match: {text!r} is not a version")
    return int(text)


async def _get_config(node, request):
    revision = node.config.current.revision
    lagging = node.lagging(revision)
    return 200, {
        "revision": revision,
        "in_force": not lagging,
        "lagging": lagging,
        "confirmed_s_ago": round(min(node.confirmation.age_s(), 1e6), 3),
        "store_down": node.confirmation.store_unresponsive,
        "entries": sorted([node.identity.name, *node.peers.states]),
        "scheduler": node.holder,
        "epoch": node.epoch,
    }
