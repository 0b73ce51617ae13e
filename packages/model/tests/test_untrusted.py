"""Bounds of data that another process has written."""

import pytest

from samphiredeal.model import untrusted


def nested(depth):
    return b"[" * depth + b"]" * depth


@pytest.mark.parametrize("depth", [untrusted.MAX_NESTING + 1, 900, 200_000])
def test_deep_nesting_is_refused(depth):
    with pytest.raises(ValueError, match="nested"):
        untrusted.decode_json(b'{"a":' + nested(depth) + b"}")


@pytest.mark.parametrize(
    "data",
    [
        nested(untrusted.MAX_NESTING),
        b'{"a":[' + b",".join([b'{"b":[1]}'] * 1000) + b"]}",
        b'{"text":"' + b"[" * 1000 + b'\\"{"}',
    ],
)
def test_other_documents_are_accepted(data):
    assert untrusted.decode_json(data) is not None


def test_large_document_is_refused_before_it_is_decoded():
    with pytest.raises(ValueError, match="bytes"):
        untrusted.decode_json(b" " * (untrusted.MAX_BYTES + 1))


@pytest.mark.parametrize("value", [1e308, 2**53, -1, 1.5, "1", True, None, [1], {}])
def test_malformed_integer_is_refused_with_its_name(value):
    with pytest.raises(ValueError, match="amount"):
        untrusted.integer("amount", value)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999",
        "10.0.0.1:-1",
        "10.0.0.1:x",
        "10.0.0.1",
        "10.0.0.1:²",
        "somewhere:80",
        ":80",
        "",
        None,
        7,
    ],
)
def test_malformed_address_is_refused(address):
    with pytest.raises(ValueError, match="address"):
        untrusted.parse_address(address)
