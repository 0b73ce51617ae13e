"""Callers' requests over HTTP."""

from io import BytesIO

from twisted.internet.defer import fail
from twisted.web.test.requesthelper import DummyRequest

from samphiredeal.platform.service_http import CallerResource


class CallerRequest(DummyRequest):
    """A request for a job's state."""

    path = b"/normal/0123456789abcdef"
    _disconnected = False

    def getHeader(self, name):
        return {"host": "desk.example"}.get(name)


def make_request():
    request = CallerRequest([b"normal"])
    request.method = b"GET"
    request.content = BytesIO()
    return request


# An unexpected error would leave the caller waiting until its deadline.
def test_failed_call_is_answered_at_once():
    resource = CallerResource(lambda _call: fail(ValueError("broken")), lambda: False)
    request = make_request()
    resource.render(request)
    assert request.finished and request.responseCode == 504
    assert b"ask again" in b"".join(request.written)
