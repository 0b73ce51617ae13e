"""The platform's transactional table and object store.

`table` defines the interface and its answers, `memory` implements it in memory
and `client` over HTTP. `service` serves any implementation over HTTP.
"""
