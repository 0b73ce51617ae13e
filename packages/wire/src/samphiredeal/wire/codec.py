"""Encoding of messages as packed Cap'n Proto.

The schema is packaged with this module and loaded at import, without a code
generator. `decode` raises `DecodeError` for any input that is not a message.
"""

import importlib.resources

import capnp

from samphiredeal.wire import messages

# Sufficient for these flat messages; limits the cost of decoding a malicious frame.
_MAX_NESTING = 8
_WORD_BYTES = 8
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_TRAVERSAL_WORDS = 4 * MAX_MESSAGE_BYTES // _WORD_BYTES


class DecodeError(ValueError):
    """The bytes are not a message of this protocol."""


def _load_schema():
    source = importlib.resources.files("samphiredeal.wire") / "messages.capnp"
    with importlib.resources.as_file(source) as path:
        return capnp.load(str(path))


def _camel(name):
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _layout(message_type):
    """Return (struct name, [(field, struct field, is a list)]) of a message type."""
    name = message_type.__name__
    fields = [
        (field, _camel(field), kind is list)
        for field, kind in message_type.__annotations__.items()
    ]
    return name[0].lower() + name[1:], fields


_ENVELOPE = _load_schema().Envelope
_TYPES = [
    value
    for value in vars(messages).values()
    if isinstance(value, type) and hasattr(value, "_fields")
]
_LAYOUTS = {message_type: _layout(message_type) for message_type in _TYPES}
_BY_NAME = {
    name: (message_type, fields) for message_type, (name, fields) in _LAYOUTS.items()
}


def encode(message):
    """Return the bytes of a message."""
    name, fields = _LAYOUTS[type(message)]
    envelope = _ENVELOPE.new_message()
    part = envelope.init(name)
    for value, (_, target, _is_list) in zip(message, fields, strict=True):
        if value:
            setattr(part, target, value)
    return envelope.to_bytes_packed()


def decode(data):
    """Return the message in the bytes; raise `DecodeError` if they are malformed."""
    try:
        envelope = _ENVELOPE.from_bytes_packed(
            data,
            traversal_limit_in_words=_TRAVERSAL_WORDS,
            nesting_limit=_MAX_NESTING,
        )
        name = str(envelope.which())
        message_type, fields = _BY_NAME[name]
        part = getattr(envelope, name)
        return message_type(*[_read(part, field) for field in fields])
    except (capnp.KjException, KeyError, ValueError, AttributeError) as error:
        raise DecodeError(f"not a message: {str(error)[:200]}") from error


def _read(part, field):
    value = getattr(part, field[1])
    return list(value) if field[2] else value
