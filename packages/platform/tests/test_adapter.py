"""Decoding of the platform's messages; errors name the invalid field."""

import msgspec
import pytest
from reactor_thread import call_in_reactor
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from samphiredeal.model import runs
from samphiredeal.model.runs import Ended, Refused, RunId, Running, StartOrder
from samphiredeal.model.shape import Shape
from samphiredeal.platform import callers, executor, operator, settings
from samphiredeal.platform.client import HttpClient
from samphiredeal.platform.executor import ExecutorClient, PollResult, Started
from samphiredeal.platform.table import Unavailable

STEP = {"count": 2, "cpu": 500, "mem-mb": 256, "gpu": 1, "estimated-ms": 900}


def encode(document):
    return msgspec.json.encode(document)


def test_job_decodes_with_defaults():
    gang = {**STEP, "gang": True, "tightly-coupled": True, "after": [0]}
    spec = callers.decode_job(encode({"spec": "text", "steps": [STEP, gang]}))
    assert spec.payload == "text"
    assert spec.steps[0].shape == Shape(500, 256, 1)
    assert not spec.steps[0].gang
    assert spec.steps[1].gang and spec.steps[1].one_rack
    assert spec.steps[1].after == (0,)


@pytest.mark.parametrize(
    "body, message",
    [
        (b"{", "not JSON"),
        (b"[]", "expected an object"),
        (encode({"steps": "x"}), "steps: 'x'"),
        (encode({"steps": [5]}), "steps[0]: 5"),
        (encode({"steps": []}), "steps: 0"),
        (encode({"steps": [{**STEP, "cpu": "many"}]}), "steps[0].cpu: 'many'"),
        (encode({"steps": [{**STEP, "count": -1}]}), "steps[0].count: -1"),
        (encode({"steps": [{**STEP, "after": [0]}]}), "steps[0].after: 0"),
        (encode({"steps": [{**STEP, "after": ["x"]}]}), "steps[0].after"),
        (encode({"steps": [{**STEP, "gang": 1}]}), "steps[0].gang: 1"),
        (encode({"spec": 7, "steps": [STEP]}), "spec: 7"),
        (encode({"spec": "x" * 4001, "steps": [STEP]}), "payload"),
    ],
)
def test_malformed_job_names_field_and_value(body, message):
    with pytest.raises(callers.BadRequest) as error:
        callers.decode_job(body)
    assert message in str(error.value)


def test_api_key_and_job_id():
    assert callers.api_key("Token abc") == "abc"
    assert callers.api_key("Basic abc") == ""
    assert callers.api_key(None) == ""
    assert callers.is_job_id("5c0e7a21d94b36f8")
    assert not callers.is_job_id("../x")


def test_configuration_decodes():
    route = {"name": "r", "host": "h", "path-prefix": "/p/", "service": "s"}
    tenant = {"name": "t", "api-keys": ["k"], "guaranteed": {"gpu": 16}}
    document = {"version": 7, "routes": [route], "tenants": [tenant], "new": 1}
    operations = operator.decode_operations(encode(document))
    assert operations.version == 7
    assert operations.queues[0].path_prefix == "/p/"
    assert operations.accounts[0].guaranteed_accelerators == 16


@pytest.mark.parametrize("value", [b"\xff", b"[]", b"{}", b'{"version":"x"}'])
def test_malformed_configuration_is_an_error(value):
    with pytest.raises(ValueError):
        operator.decode_operations(value)


def test_zone_out():
    assert operator.zone_out_of("evacuate/north") == "north"
    assert operator.zone_out_of("config") is None


HEARTBEAT = {
    "service": "s",
    "zone": "z",
    "state": "draining",
    "remaining-ms": 1500,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 8},
    "labels": ["a", "r1"],
    "born": 5,
    "sequence": 4,
}


def test_heartbeat_decodes():
    fields = executor.decode_heartbeat("i-1", encode(HEARTBEAT))
    assert fields.sequence == 4
    assert fields.facts.leaving and fields.facts.leaving_in_ms == 1500
    assert fields.facts.capacity == Shape(16000, 32768, 8)
    assert fields.facts.life == "i-1/5"


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"service": 5},
        {"born": "x"},
        {"born": None},
        {"capacity": 3},
        {"zone": None},
    ],
)
def test_malformed_heartbeat_is_an_error(change):
    with pytest.raises(ValueError):
        executor.decode_heartbeat("i-1", encode({**HEARTBEAT, **change}))


def test_settings_error_names_the_field(tmp_path):
    path = tmp_path / "local.yaml"
    for text, message in [
        ("", "expected a mapping"),
        ("node: [", "not YAML"),
        ("node: n", "internal-ports"),
    ]:
        path.write_text(text)
        with pytest.raises(settings.SettingsError) as error:
            settings.read_settings(str(path))
        assert message in str(error.value)


class Worker(Resource):
    """Answers every call with `answer`; records the bodies of calls.

    `expected_id` is the worker that the last call named.
    """

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.answer = (200, {})
        self.calls = []
        self.expected_id = None

    def render_POST(self, request):
        self.expected_id = request.getHeader("x-expected-instance")
        self.calls.append((request.path, msgspec.json.decode(request.content.read())))
        status, body = self.answer
        request.setResponseCode(status)
        return msgspec.json.encode(body)


@pytest.fixture
def worker():
    resource = Worker()

    def make():
        port = reactor.listenTCP(0, Site(resource), interface="127.0.0.1")
        url = f"http://127.0.0.1:{port.getHost().port}"
        resource.client = ExecutorClient(HttpClient(reactor, url))

    call_in_reactor(make)
    return resource


ORDER = StartOrder("a.0.0.0", 3, "text", "saved")


@pytest.mark.parametrize(
    "answer, expected",
    [
        ((200, {"clock-ms": 9}), Started(9)),
        ((409, {"reason": "old"}), Refused("a.0.0.0", 3, runs.OLD_RUN)),
        ((409, {"reason": "late"}), Refused("a.0.0.0", 3, runs.TOO_LATE)),
        ((409, {"reason": "ticket"}), Refused("a.0.0.0", 3, runs.NO_TICKET)),
        ((503, {}), Refused("a.0.0.0", 3, runs.UNHEALTHY)),
        ((400, {}), Refused("a.0.0.0", 3, runs.MALFORMED)),
    ],
)
def test_start_and_its_answers(worker, answer, expected):
    worker.answer = answer
    start = worker.client.start
    assert call_in_reactor(start, ORDER, 7, 500, 1.0, "i-w") == expected
    path, body = worker.calls[-1]
    assert path == b"/api/run-start"
    assert body["fencing-token"] == 7 and body["deadline-ms"] == 500
    assert body["checkpoint"] == "saved" and "ticket" not in body


def test_poll_decodes_lists(worker):
    worker.answer = (
        200,
        {
            "clock-ms": 4,
            "born": 2,
            "running": [["a.0.0.0", 1, "c", 41, 8]],
            "ended": [[1, "b.0.0.0", 2, "done", ""]],
        },
    )
    result = call_in_reactor(worker.client.poll, 7, 0, 900, 0.0, "i-w")
    running = (Running("a.0.0.0", 1, "c", 41, 8),)
    ended = (Ended(1, "b.0.0.0", 2, runs.DONE, ""),)
    assert result == PollResult(4, 2, running, ended)


# Guards against TWICE (inc-worker-identity): lists without a start time were taken for
# those of another incarnation, which ended the one that is there.
@pytest.mark.parametrize(
    "fields",
    [
        {"born": 2, "running": [["a"]], "ended": []},
        {"running": [], "ended": []},
        {"born": None, "running": [], "ended": []},
        {"born": 2.5, "running": [], "ended": []},
    ],
)
def test_malformed_lists_are_unavailable(worker, fields):
    worker.answer = (200, {"clock-ms": 4, **fields})
    result = call_in_reactor(worker.client.poll, 7, 0, None, 0.0, "i-w")
    assert isinstance(result, Unavailable)


# Guards against TWICE (inc-agent-evidence): a call meant for one worker was carried out
# by the next one at its address.
@pytest.mark.parametrize("call", ["start", "stop", "poll"])
def test_call_names_its_worker_and_another_one_does_not_apply_it(worker, call):
    worker.answer = (421, {"clock-ms": 4})
    arguments = {
        "start": (ORDER, 7, 500, 1.0),
        "stop": (RunId("a.0.0.0", 3), 7, 1.0),
        "poll": (7, 0, None, 0.0),
    }[call]
    method = getattr(worker.client, call)
    result = call_in_reactor(method, *arguments, "i-w")
    assert isinstance(result, Unavailable) and result.not_applied
    assert worker.expected_id == "i-w"
