"""The digest that protects the integrity of bodies."""

import hashlib

_DIGEST_BYTES = 16


def digest(body):
    """Return the digest of a body."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).digest()
