"""Guards against documents that are accepted with wrong fields, and against unclear errors."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from returns.pipeline import is_successful
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from fireflylink_core import Configuration, OwnershipTable
from fireflylink_documents import (
    DocumentError,
    DocumentSigner,
    decode_configuration,
    decode_note,
    decode_table,
    encode_configuration,
    encode_table,
)

Edit = Callable[[dict[str, Any]], object]


def holds_server(document: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields of the only server."""
    found: dict[str, Any] = document["servers"]["holds-01"]
    return found


CONFIGURATION_EDITS: list[tuple[Edit, str]] = [
    (lambda d: d.pop("version"), "version: is required"),
    (lambda d: d.update(version=-1), "version: must be an integer from 0"),
    (lambda d: d.update(version=True), "version: must be an integer from 0"),
    (lambda d: d.update(extra=1), "extra: is not a known field; known fields: applied_notes"),
    (lambda d: d.update(document="ownership"), "document: must be configuration"),
    (lambda d: d.update(servers=[]), "servers: must be an object, not []"),
    (lambda d: holds_server(d).pop("port"), "servers.holds-01.port: is required"),
    (
        lambda d: holds_server(d).update(port=70000),
        "servers.holds-01.port: must be an integer from 1 to 65535, not 70000",
    ),
    (
        lambda d: holds_server(d).update(state="gone"),
        'servers.holds-01.state: must be one of in, draining, not "gone"',
    ),
    (
        lambda d: holds_server(d).update(host="a\nb"),
        "servers.holds-01.host: must be a string of 1 to 1024 printable characters",
    ),
    (
        lambda d: holds_server(d).update(host="holds.example"),
        'servers.holds-01.host: must be an IP address, not "holds.example"',
    ),
    (
        lambda d: holds_server(d).update(weight=2),
        "servers.holds-01.weight: is not a known field; known fields: checks_grants",
    ),
    (
        lambda d: d["services"]["holds"].update(data_centres=["kingston", "kingston"]),
        "services.holds.data_centres: must not name anything twice",
    ),
    (
        lambda d: d["services"]["holds"].update(churn_percent_per_minute=101),
        "services.holds.churn_percent_per_minute: must be a number from 0 to 100",
    ),
    (
        lambda d: d["services"]["holds"]["ranges"][0].update(first="x"),
        "services.holds.ranges[0].first: must be an integer from 0",
    ),
]


@pytest.mark.parametrize(("edit", "message"), CONFIGURATION_EDITS)
def test_wrong_field_is_named(configuration: Configuration, edit: Edit, message: str) -> None:
    """An operator must learn which field is wrong and what is allowed, in one line."""
    document = json.loads(encode_configuration(configuration))
    edit(document)
    error = decode_configuration(json.dumps(document).encode()).failure()
    assert_that(str(error), Contains(message))
    assert_that(str(error).splitlines(), Equals([str(error)]))


@pytest.mark.parametrize(
    ("payload", "message"),
    [
        (b"", "document: must be JSON"),
        (b"\xff", "document: must be JSON in UTF-8"),
        (b"[]", "document: must be an object"),
        (b"[" * 100_000, "document: "),
        (b'{"version": NaN}', "must not contain NaN"),
        (b'{"version": ' + b"9" * 5000 + b"}", "document: must be JSON"),
        (b'{"summary": "a", "summary": "b"}', '"summary": must not appear twice'),
    ],
)
def test_malformed_json_is_an_error(payload: bytes, message: str) -> None:
    """Bytes from the platform or an editor must never end in a traceback."""
    assert_that(str(decode_note(payload).failure()), Contains(message))


@pytest.mark.parametrize(
    ("row", "message"),
    [
        ([0, 0, 3, 12], "shards.holds[0]: must be a list of 6 to 9 numbers"),
        ([0, 999, 3, 12, 5, 1], "shards.holds[0][1]: must be an integer from 0 to 21"),
        ([0, 0, -3, 12, 5, 1], "shards.holds[0][2]: must be an integer from 0"),
        ([0, 0, 3, 12, 5, 1, "x"], "shards.holds[0][6]: must be an integer from 0 to 21"),
        ([1, 0, 3, 12, 5, 1], "shards.holds: must not hold an index twice"),
    ],
)
def test_wrong_shard_record_is_named(
    large_table: OwnershipTable, row: list[Any], message: str
) -> None:
    """A record that is read with the wrong owner would give a key two owners."""
    document = json.loads(encode_table(large_table))
    document["shards"]["holds"][0] = row
    error = decode_table(json.dumps(document).encode()).failure()
    assert_that(str(error), Contains(message))


def test_change_without_a_field_is_refused() -> None:
    """An empty change is an unfinished note."""
    note = {"note_id": "n", "author": "a", "for_version": 1, "summary": "s"}
    payload = json.dumps({**note, "changed": {"servers": {"holds-01": {}}}}).encode()
    message = str(decode_note(payload).failure())
    assert_that(message, Contains("changed.servers.holds-01: must name a field: service"))


def test_digest_of_a_note_covers_its_content_only() -> None:
    """A note that was only formatted again must be recognised as the same change."""
    note = {"note_id": "n", "author": "a", "for_version": 1, "summary": "s"}
    plain = decode_note(json.dumps(note).encode()).unwrap()
    formatted = decode_note(json.dumps(note, indent=4, sort_keys=True).encode()).unwrap()
    other = decode_note(json.dumps({**note, "summary": "t"}).encode()).unwrap()
    assert_that(formatted.digest, Equals(plain.digest))
    assert_that(other.digest == plain.digest, Equals(False))


def test_signed_document_verifies(signer: DocumentSigner) -> None:
    """Daemons could not accept any document."""
    assert_that(signer.verify(signer.sign(b"a\nb")), Equals(Success(b"a\nb")))


def test_every_altered_byte_is_detected(signer: DocumentSigner) -> None:
    """A document altered on its way must not come into force."""
    document = signer.sign(b'{"version":1}')
    for place in range(len(document)):
        altered = document[:place] + bytes([document[place] ^ 1]) + document[place + 1 :]
        assert_that(is_successful(signer.verify(altered)), Equals(False))


def test_former_key_is_accepted_only_when_listed(signer: DocumentSigner) -> None:
    """Replacing the cluster key must not stop daemons that still hold the former one."""
    successor = b"another key of thirty-two bytes!"
    document = signer.sign(b"{}")
    strict = DocumentSigner(successor).verify(document)
    lenient = DocumentSigner(successor, (signer.key,)).verify(document)
    assert_that((is_successful(strict), is_successful(lenient)), Equals((False, True)))


def test_short_cluster_key_is_refused() -> None:
    """A key that can be guessed would not protect the configuration."""
    with pytest.raises(DocumentError, match="cluster key: must have at least 16 bytes"):
        DocumentSigner(b"short")
