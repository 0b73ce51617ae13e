"""Logging of rows that another writer has left unreadable."""

from eliot import log_message

from samphiredeal.model.untrusted import MAX_TEXT_CHARS

_MAX_REASON_CHARS = 300


def reason_of(error):
    """Return an error as the reason for which a row cannot be read.

    >>> reason_of(ValueError("units: not a list"))
    'ValueError: units: not a list'
    """
    return f"{type(error).__name__}: {error}"[:_MAX_REASON_CHARS]


def log_unreadable_row(row, error):
    """Log a row of a table that is left out, and why."""
    log_message(
        message_type="row_unreadable",
        key=row.key[:MAX_TEXT_CHARS],
        version=row.version,
        reason=reason_of(error),
    )
