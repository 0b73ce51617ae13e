"""Operator commands over the HTTP API.

Every command takes ``--url`` (an entry's HTTP address; the default is the variable
``SAMPHIREDEAL_URL``) and ``--json`` for machine-readable output. If a request is
refused, the error is written to standard error and the exit status is 1; the exit
status of wrong usage is 2.
"""

import json
import os
import sys

import defopt
import json5

from samphiredeal.cli import client, settings

DEFAULT_URL = "http://127.0.0.1:8080"


class _Output:
    """Prints replies as text or JSON."""

    def __init__(self, as_json):
        self._as_json = as_json

    def show(self, reply, describe):
        """Print a reply, as text by `describe`; return the exit status."""
        if self._as_json:
            print(json.dumps(reply.document, indent=2, sort_keys=True))
        elif reply.accepted:
            print(describe(reply.document))
        if reply.accepted:
            return 0
        if not self._as_json:
            print(f"refused ({reply.status}): {_error(reply)}", file=sys.stderr)
        return 1


def _error(reply):
    if isinstance(reply.document, dict):
        return reply.document.get("error", reply.document)
    return reply.document


def _url(url):
    return url or os.environ.get("SAMPHIREDEAL_URL", DEFAULT_URL)


def _format_json(document):
    return json.dumps(document, indent=2, sort_keys=True)


def _describe_change(document):
    lines = [f"accepted at revision {document['revision']}"]
    if document["lagging"]:
        lines.append(f"not yet in force at: {', '.join(document['lagging'])}")
    lines += [f"warning: {warning}" for warning in document["warnings"]]
    return "\n".join(lines)


def _get(kind):
    def get(name: str = "", *, url: str = "", json: bool = False):
        """Show one document, or all documents of this kind.

        :param name: the document's name; all if omitted
        :param url: an entry's HTTP address
        :param json: print JSON
        """
        reply = client.call(_url(url), "GET", f"/v1/{kind}s/{name}".rstrip("/"))
        return _Output(json).show(reply, _format_json)

    return get


def _put(kind):
    def put(
        name: str,
        document: str,
        *,
        if_match: str = "*",
        url: str = "",
        json: bool = False,
    ):
        """Write a document.

        :param name: the document's name
        :param document: the document as JSON with comments, or @FILE
        :param if_match: the expected current version; * for any
        :param url: an entry's HTTP address
        :param json: print JSON
        """
        try:
            parsed = _read_document(document)
        except (OSError, ValueError) as error:
            print(f"document: {error}", file=sys.stderr)
            return 2
        return _write(url, json, f"/v1/{kind}s/{name}", parsed, if_match)

    return put


def _delete(kind):
    def delete(name: str, *, if_match: str = "*", url: str = "", json: bool = False):
        """Delete a document.

        :param name: the document's name
        :param if_match: the expected current version; * for any
        :param url: an entry's HTTP address
        :param json: print JSON
        """
        reply = client.call(
            _url(url), "DELETE", f"/v1/{kind}s/{name}", headers={"If-Match": if_match}
        )
        return _Output(json).show(reply, _describe_change)

    return delete


def _write(url, as_json, path, document, if_match="*"):
    headers = {"If-Match": if_match}
    reply = client.call(_url(url), "PUT", path, document, headers)
    return _Output(as_json).show(reply, _describe_change)


def _mark_zone(state):
    def mark(name: str, *, url: str = "", json: bool = False):
        """Mark an availability zone.

        :param name: the zone's name
        :param url: an entry's HTTP address
        :param json: print JSON
        """
        return _write(url, json, f"/v1/zones/{name}", {"state": state})

    mark.__doc__ = mark.__doc__.replace("zone.", f"zone {state}.", 1)
    return mark


def _read_document(argument):
    """Return the document in an argument, or in the file that ``@FILE`` names."""
    if not argument.startswith("@"):
        return json5.loads(argument)
    with open(argument[1:], encoding="utf-8") as file:
        return json5.loads(file.read())


def submit(document: str, *, url: str = "", json: bool = False):
    """Submit a job.

    :param document: the job as JSON with comments, or @FILE
    :param url: an entry's HTTP address
    :param json: print JSON
    """
    try:
        job = _read_document(document)
    except (OSError, ValueError) as error:
        print(f"job: {error}", file=sys.stderr)
        return 2
    reply = client.call(_url(url), "POST", "/v1/jobs", job)
    return _Output(json).show(reply, lambda d: f"job {d['id']} is {d['state']}")


def show_job(id: str, *, url: str = "", json: bool = False):
    """Show a job.

    :param id: the job's id
    :param url: an entry's HTTP address
    :param json: print JSON
    """
    reply = client.call(_url(url), "GET", f"/v1/jobs/{id}")
    return _Output(json).show(reply, _format_json)


def explain_job(id: str, *, url: str = "", json: bool = False):
    """Explain why a job waits, what would let it run and which jobs it may preempt.

    :param id: the job's id
    :param url: an entry's HTTP address
    :param json: print JSON
    """
    reply = client.call(_url(url), "GET", f"/v1/jobs/{id}")

    def describe(document):
        explanation = document.get("explain") or {"why": document["reason"]}
        lines = [f"job {id}: {explanation.get('state', document['state'])}"]
        lines += [
            f"  {key}: {value}" for key, value in explanation.items() if value != ""
        ]
        return "\n".join(lines)

    return _Output(json).show(reply, describe)


def list_jobs(
    *,
    state: str = "active",
    account: str = "",
    after: str = "",
    limit: int = 100,
    url: str = "",
    json: bool = False,
):
    """List jobs.

    :param state: active or ended
    :param account: only jobs of this client account
    :param after: only ids after this one
    :param limit: maximum number of jobs
    :param url: an entry's HTTP address
    :param json: print JSON
    """
    path = f"/v1/jobs?state={state}&account={account}&after={after}&limit={limit}"
    reply = client.call(_url(url), "GET", path)

    def describe(document):
        lines = [
            f"{j['id']:30} {j['state']:10} {j['job']['account']:16} "
            f"{j['job']['members']} x {j['job']['accelerators']} {j['reason']}"
            for j in document["jobs"]
        ]
        return "\n".join(lines) or "no jobs"

    return _Output(json).show(reply, describe)


def cancel_job(id: str, *, url: str = "", json: bool = False):
    """Cancel a job.

    :param id: the job's id
    :param url: an entry's HTTP address
    :param json: print JSON
    """
    reply = client.call(_url(url), "DELETE", f"/v1/jobs/{id}")
    return _Output(json).show(reply, lambda d: f"job {id}: cancellation accepted")


def show_config(*, url: str = "", json: bool = False):
    """Show the configuration's revision, whether it is in force, and where it lags.

    :param url: an entry's HTTP address
    :param json: print JSON
    """
    reply = client.call(_url(url), "GET", "/v1/config")
    return _Output(json).show(reply, _format_json)


def show_report(*, page: str = "", url: str = "", json: bool = False):
    """Report service-level burn over 5 min, 1 h and 6 h, jobs and zone outages.

    :param page: also write an HTML page with plots to this file
    :param url: an entry's HTTP address
    :param json: print JSON
    """
    from samphiredeal.cli import report

    reply = client.call(_url(url), "GET", "/v1/report")
    if page and reply.accepted:
        with open(page, "w", encoding="utf-8") as file:
            file.write(report.as_page(reply.document))
    return _Output(json).show(reply, report.as_text)


def check(path: str, *, json: bool = False):
    """Validate a settings file and print the effective settings.

    :param path: the settings file of an entry or an agent
    :param json: print JSON
    """
    try:
        document = settings.read_document(path)
        schema = settings.schema_of(document if isinstance(document, dict) else {})
        effective = settings.load(path, schema)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return 1
    print(_format_json(effective))
    return 0


def entry(path: str = ""):
    """Run an entry until it is stopped.

    :param path: the settings file; if omitted, the one that the platform names
    """
    return _run_role("entry", path)


def agent(path: str = ""):
    """Run an agent until it is stopped.

    :param path: the settings file; if omitted, the one that the platform names
    """
    return _run_role("agent", path)


def _run_role(role, path):
    from samphiredeal.cli import main

    return main.run_role(role, path)


def _documents(kind):
    return {"get": _get(kind), "put": _put(kind), "delete": _delete(kind)}


COMMANDS = {
    "account": _documents("account"),
    "zone": {
        **_documents("zone"),
        "out": _mark_zone("out"),
        "in": _mark_zone("in"),
    },
    "worker": _documents("worker"),
    "job": {
        "submit": submit,
        "show": show_job,
        "explain": explain_job,
        "list": list_jobs,
        "cancel": cancel_job,
    },
    "config": {"show": show_config},
    "report": show_report,
    "check": check,
    "entry": entry,
    "agent": agent,
}


def run(arguments):
    """Run a porcelain command; return the exit status."""
    try:
        return defopt.run(COMMANDS, argv=arguments, cli_options="has_default") or 0
    except OSError as error:
        print(f"no response from an entry: {error}", file=sys.stderr)
        return 1
