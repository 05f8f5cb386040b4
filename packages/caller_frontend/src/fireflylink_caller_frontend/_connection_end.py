"""Which requests of a connection are answered before it ends."""

import re

HEAD_END = re.compile(rb"\n\r?\n")


def answers_request_behind(draining: bool, read_behind: bytes) -> bool:
    """Whether the connection goes on behind the answer that is about to be sent.

    ``read_behind`` is what has been read of the connection behind the request of this answer. While
    the listener drains, the connection ends with the first answer behind which no whole head of a
    request has been read. That answer tells its caller that what it sent later was not handled.

    Example::

        assert not answers_request_behind(True, b"GET / HTTP/1.1\\r\\nHost:")
        assert answers_request_behind(True, b"GET / HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n")
    """
    if not draining:
        return True
    return HEAD_END.search(read_behind.lstrip(b"\r\n")) is not None
