"""HTTP helpers: JSON responses, request bodies in memory and limits on their size."""

from io import BytesIO

import msgspec
from twisted.internet.defer import ensureDeferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from samphiredeal.model.verdict import MAY_HAVE_RUN, NOT_RUN

MAX_BODY_BYTES = 8 * 1024 * 1024

VERDICT_HEADER = b"Samphiredeal-Verdict"
REASON_HEADER = b"Samphiredeal-Reason"


class BadRequest(Exception):
    """The caller's input is invalid; `text` names the field and its value.

    `verdict` tells whether the call may have had an effect all the same.
    """

    def __init__(self, text, status=400, verdict=NOT_RUN):
        super().__init__(text)
        self.status = status
        self.text = text
        self.verdict = verdict


class MemoryRequest(Request):
    """A request whose body stays in memory and within `MAX_BODY_BYTES`."""

    too_large = False

    def gotLength(self, length):
        """Keep the body in memory, since the hosts have no disks."""
        self.too_large = length is not None and length > MAX_BODY_BYTES
        self.content = BytesIO()

    def handleContentChunk(self, data):
        """Append a part of the body unless it becomes too large."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.too_large = True
        if not self.too_large:
            self.content.write(data)


def make_site(resource):
    """Return a twisted.web site over a resource, with bodies in memory."""
    return Site(resource, requestFactory=MemoryRequest)


class Endpoint(Resource):
    """Calls the handler of a request's method and responds with JSON.

    A handler is a coroutine function of the request that returns (status, document),
    or bytes in place of the document; a `BadRequest` is sent as its status and text.
    """

    isLeaf = True

    def __init__(self, **handlers):
        super().__init__()
        self._handlers = handlers

    def render(self, request):
        """Run the handler of the request's method."""
        handler = self._handlers.get(request.method.decode())
        if request.too_large:
            reject(request, 413, f"body: more than {MAX_BODY_BYTES} bytes")
        elif handler is None:
            allowed = ", ".join(sorted(self._handlers))
            reject(request, 405, f"method: {request.method.decode()!r}, not {allowed}")
        else:
            ensureDeferred(self._run(handler, request))
        return NOT_DONE_YET

    async def _run(self, handler, request):
        try:
            status, document = await handler(request)
        except BadRequest as error:
            reject(request, error.status, error.text, error.verdict)
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            reject(request, 500, text, MAY_HAVE_RUN)
            raise
        else:
            send_response(request, status, document)


def reject(request, status, text, verdict=NOT_RUN):
    """Respond with an error and a verdict."""
    request.setHeader(VERDICT_HEADER, verdict.encode())
    send_response(request, status, {"error": text, "verdict": verdict})


def send_response(request, status, document):
    """Respond with a status and a document as JSON, or with bytes unchanged."""
    if request._disconnected:
        return
    request.setResponseCode(status)
    if not isinstance(document, bytes):
        request.setHeader(b"Content-Type", b"application/json")
        document = msgspec.json.encode(document) + b"\n"
    request.setHeader(b"Content-Length", str(len(document)).encode())
    request.write(document)
    request.finish()


def json_body(request):
    """Return the request's body as a JSON object; raise `BadRequest` if not."""
    try:
        document = msgspec.json.decode(request.content.read())
    except msgspec.DecodeError as error:
        raise BadRequest(f"body: {error}") from error
    if not isinstance(document, dict):
        raise BadRequest(f"body: expected an object, got {document!r}"[:200])
    return document


def header(request, name, default=""):
    """Return a request header as text."""
    value = request.getHeader(name)
    return default if value is None else value


def number_header(request, name, default, lowest, highest):
    """Return a request header as a number within bounds, or raise `BadRequest`."""
    text = header(request, name, str(default))
    try:
        value = float(text)
    except ValueError:
        raise BadRequest(f"{name}: {text!r} is not a number") from None
    if not lowest <= value <= highest:
        raise BadRequest(f"{name}: {text} is not within {lowest} to {highest}")
    return value


def query(request, name, default=""):
    """Return a query parameter as text."""
    values = request.args.get(name.encode())
    return values[0].decode(errors="replace") if values else default
