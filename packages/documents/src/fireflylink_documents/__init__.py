"""JSON encoding, checks and signatures of the stored documents."""

from fireflylink_documents._change_documents import (
    decode_changes,
    decode_configuration_changes,
    encode_changes,
    encode_configuration_changes,
)
from fireflylink_documents._changes import (
    ConfigurationChanges,
    TableChanges,
    apply_changes,
    apply_configuration_changes,
    configuration_changes,
    table_changes,
)
from fireflylink_documents._configuration import decode_configuration, encode_configuration
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import FieldReader, checked_integer, read_fields
from fireflylink_documents._json import dump_json, load_json
from fireflylink_documents._notes import decode_note, encode_note
from fireflylink_documents._signer import DocumentSigner
from fireflylink_documents._tables import decode_table, encode_table

__all__ = [
    "ConfigurationChanges",
    "DocumentError",
    "DocumentSigner",
    "FieldReader",
    "TableChanges",
    "apply_changes",
    "apply_configuration_changes",
    "checked_integer",
    "configuration_changes",
    "decode_changes",
    "decode_configuration",
    "decode_configuration_changes",
    "decode_note",
    "decode_table",
    "dump_json",
    "encode_changes",
    "encode_configuration",
    "encode_configuration_changes",
    "encode_note",
    "encode_table",
    "load_json",
    "read_fields",
    "table_changes",
]
