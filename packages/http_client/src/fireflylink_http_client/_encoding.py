"""Encoding of HTTP requests."""

from fireflylink_core import Headers


def encode_request(method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
    """Returns the bytes of a request; a length is added when there is a body or the method has one.

    The caller has checked that no header holds a line break: the front end refuses such requests.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
