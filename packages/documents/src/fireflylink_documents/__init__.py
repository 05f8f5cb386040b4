"""JSON encoding, checks and signatures of the stored documents."""

from fireflylink_documents._configuration import decode_configuration, encode_configuration
from fireflylink_documents._errors import DocumentError
from fireflylink_documents._fields import FieldReader, read_fields
from fireflylink_documents._signer import DocumentSigner
from fireflylink_documents._tables import decode_table, encode_table

__all__ = [
    "DocumentError",
    "DocumentSigner",
    "FieldReader",
    "decode_configuration",
    "decode_table",
    "encode_configuration",
    "encode_table",
    "read_fields",
]
