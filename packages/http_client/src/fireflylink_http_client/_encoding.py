"""Encoding of HTTP requests."""

from fireflylink_core import Headers


def encode_request_head(method: str, target: str, headers: Headers, body_bytes: int) -> bytes:
    """Returns the bytes of an HTTP/1.1 request before its body of ``body_bytes`` bytes.

    Content-Length is added if there is a body or the method usually has one. Headers are not
    checked for line breaks: the front end refuses requests that have them.
    """
    lines = [f"{method} {target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body_bytes or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def encode_request(method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
    """Returns the bytes of an HTTP/1.1 request with a short body, which is copied."""
    return encode_request_head(method, target, headers, len(body)) + body
