"""The status that a daemon reports."""

from collections.abc import Mapping

from returns.result import Result

from fireflylink_core import BaseValue
from fireflylink_documents import DocumentError, FieldReader, read_fields


class InForce(BaseValue):
    """How many members of a data centre have a version of the configuration in force."""

    __slots__ = ("confirmed", "lagging", "members", "version")

    def __init__(
        self, version: int, members: int, confirmed: int, lagging: tuple[str, ...]
    ) -> None:
        self.version = version
        self.members = members
        self.confirmed = confirmed
        self.lagging = lagging

    def confirms(self, version: int) -> bool:
        """Tells whether every member has a version, or a later one, in force."""
        return self.version >= version and not self.lagging and self.confirmed >= self.members


class TableStatus(BaseValue):
    """A daemon's view of an ownership table.

    ``settled`` is the highest settled version, 0 when none is known to be settled.
    ``authority_ms`` is the authority that remains.
    """

    __slots__ = ("authority_ms", "settled", "version")

    def __init__(self, version: int, settled: int, authority_ms: int) -> None:
        self.version = version
        self.settled = settled
        self.authority_ms = authority_ms


class DaemonStatus(BaseValue):
    """What a daemon knows about itself and its data centre."""

    __slots__ = (
        "configuration_version",
        "data_centre",
        "in_force",
        "instance_id",
        "leaving",
        "members",
        "platform_reachable",
        "root",
        "tables",
    )

    def __init__(
        self,
        instance_id: str,
        data_centre: str,
        root: str,
        configuration_version: int,
        in_force: InForce,
        tables: Mapping[str, TableStatus],
        platform_reachable: bool,
        members: tuple[str, ...],
        leaving: bool,
    ) -> None:
        self.instance_id = instance_id
        self.data_centre = data_centre
        self.root = root
        self.configuration_version = configuration_version
        self.in_force = in_force
        self.tables = tables
        self.platform_reachable = platform_reachable
        self.members = members
        self.leaving = leaving


def decode_status(payload: bytes) -> Result[DaemonStatus, DocumentError]:
    """Returns the status in a daemon's reply."""
    return read_fields(payload, _read_status, allow_unknown=True)


def _read_status(fields: FieldReader) -> DaemonStatus:
    tables = fields.children_by_name("tables", {})
    return DaemonStatus(
        instance_id=fields.text("instance_id"),
        data_centre=fields.text("data_centre"),
        root=fields.optional_text("root") or "",
        configuration_version=fields.integer("configuration_version", 0),
        in_force=_read_in_force(fields.child("in_force")),
        tables={name: _read_table(entry) for name, entry in tables.items()},
        platform_reachable=fields.boolean("platform_reachable"),
        members=fields.texts("members", ()),
        leaving=fields.boolean("leaving", False),
    )


def _read_in_force(fields: FieldReader) -> InForce:
    return InForce(
        version=fields.integer("version", 0),
        members=fields.integer("members", 0),
        confirmed=fields.integer("confirmed", 0),
        lagging=fields.texts("lagging", ()),
    )


def _read_table(fields: FieldReader) -> TableStatus:
    version = fields.integer("version", 0)
    return TableStatus(
        version=version,
        settled=_read_settled(fields, version),
        authority_ms=int(fields.number("authority_ms", -1e9, 1e9, 0.0)),
    )


def _read_settled(fields: FieldReader, version: int) -> int:
    """Returns the settled version; a boolean tells whether the table's version is settled."""
    if isinstance(fields.raw("settled"), bool):
        return version if fields.boolean("settled") else 0
    return fields.integer("settled", 0)
