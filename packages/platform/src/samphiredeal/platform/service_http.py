"""The HTTP interface for the platform and its callers, as twisted.web resources.

Each resource decodes a request, passes it to a function and encodes the answer.
"""

from eliot import log_message
from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from samphiredeal.model import answers
from samphiredeal.model.answers import Call
from samphiredeal.platform import callers
from samphiredeal.platform.executor import decode_heartbeat

# How long a caller waits if its request names no limit.
_DEFAULT_WAIT_S = 3.0
_VERBS = {b"POST": answers.SUBMIT, b"GET": answers.GET_STATE, b"DELETE": answers.CANCEL}
_STATUS = {
    answers.ACCEPTED: 200,
    answers.STATE: 200,
    answers.WAITING: 200,
    answers.CANCELLED: 200,
    answers.MALFORMED: 400,
    answers.UNKNOWN_KEY: 401,
    answers.NO_QUEUE: 404,
    answers.NO_JOB: 410,
    answers.NOT_DONE: 503,
    answers.UNSETTLED: 504,
}


def make_site(resource):
    """Return an HTTP site for one resource, without access log or tracebacks."""
    site = Site(resource)
    site.displayTracebacks = False
    site.noisy = False
    site.log = lambda request: None
    return site


class CallerResource(Resource):
    """Serves every path of the callers' address.

    `answer(call)` is a coroutine function that returns a `JobAnswer`.
    """

    isLeaf = True

    def __init__(self, answer, is_stopping):
        super().__init__()
        self._answer = answer
        self._is_stopping = is_stopping

    def render(self, request):
        """Answer one request; see `Resource.render`."""
        verb = _VERBS.get(request.method)
        if verb is None:
            request.setResponseCode(405)
            return b""
        call = Call(
            verb=verb,
            host=(request.getHeader("host") or "").partition(":")[0],
            path=request.path.decode("utf-8", "replace"),
            key=callers.api_key(request.getHeader("authorization")),
            wait_s=callers.wait_limit_s(
                request.getHeader("x-deadline-remaining-ms"), _DEFAULT_WAIT_S
            ),
            body=request.content.read(),
        )
        ensureDeferred(self._serve(request, call)).addErrback(_fail, request)
        return NOT_DONE_YET

    async def _serve(self, request, call):
        answer = await self._answer(call)
        if request._disconnected:
            return
        request.setResponseCode(_STATUS[answer.kind])
        request.setHeader("content-type", "application/json")
        if answer.retry_after_s:
            # Rounded down: a caller's deadline may lie within the second.
            request.setHeader("retry-after", str(max(1, int(answer.retry_after_s))))
        if self._is_stopping():
            request.setHeader("connection", "close")
        request.write(_body(answer))
        request.finish()


def _fail(failure, request):
    """Answer at once that the outcome of the call is unknown."""
    log_message(message_type="call_failed", reason=failure.getTraceback())
    if not request._disconnected and not request.finished:
        request.setResponseCode(_STATUS[answers.UNSETTLED])
        request.write(callers.encode_error("the call failed here; ask again"))
        request.finish()


def _body(answer):
    if answer.kind == answers.STATE:
        return callers.encode_state(answer.state)
    if answer.kind == answers.WAITING:
        return callers.encode_waiting(answer.waiting)
    if answer.reason:
        return callers.encode_error(answer.reason)
    return b"{}"


class ReadinessResource(Resource):
    """Reports whether callers may be routed to this process."""

    isLeaf = True

    def __init__(self, is_ready):
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request):
        """Return status 200 if ready, else 503."""
        if not self._is_ready():
            request.setResponseCode(503)
        return b""


class HeartbeatResource(Resource):
    """Accepts heartbeats and deregistrations of the worker on this VM."""

    isLeaf = True

    def __init__(self, on_heartbeat, on_deregister, on_malformed):
        super().__init__()
        self._on_heartbeat = on_heartbeat
        self._on_deregister = on_deregister
        self._on_malformed = on_malformed

    def render_POST(self, request):
        """Process one call; return status 400 if it is malformed."""
        parts = [part.decode("utf-8", "replace") for part in request.postpath]
        if len(parts) != 3 or parts[0] != "api":
            request.setResponseCode(404)
            return b""
        request.setHeader("content-type", "application/json")
        if parts[1] == "Instances.Deregister":
            self._on_deregister(parts[2])
            return b"{}"
        if parts[1] != "Instances.Heartbeat":
            request.setResponseCode(404)
            return b""
        try:
            fields = decode_heartbeat(parts[2], request.content.read())
        except ValueError as error:
            self._on_malformed(parts[2], str(error)[:300])
            request.setResponseCode(400)
            return callers.encode_error(str(error)[:300])
        self._on_heartbeat(fields)
        return b"{}"


class TextResource(Resource):
    """Serves the text returned by a function; used for metrics."""

    isLeaf = True

    def __init__(self, render):
        super().__init__()
        self._render = render

    def render_GET(self, request):
        """Return the text."""
        request.setHeader("content-type", "text/plain; charset=utf-8")
        return self._render()
