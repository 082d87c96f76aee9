"""Command that applies a service document."""

import argparse
import pathlib
import tomllib
import urllib.parse

import attrs
from returns.result import Failure as ResultFailure
from returns.result import Result, Success

from tanagerpath.cli.client import EntryClient, EntryRequest
from tanagerpath.cli.command import ClientCommand
from tanagerpath.codecs import MalformedMessage, decode_value, encode_json
from tanagerpath.core.model import InvalidDocument, ServiceDocument, check_document
from tanagerpath.core.protocol.callers import DocumentReply, DocumentRequest
from tanagerpath.errors import Failure

__all__ = ["ApplyCommand", "read_document"]


def read_document(path: pathlib.Path) -> Result[ServiceDocument, InvalidDocument]:
    """Read and validate a TOML document.

    Parameters
    ----------
    path : pathlib.Path
        TOML file.

    Returns
    -------
    Result
        The document, or `InvalidDocument` for the first error.
    """
    return (
        _read_toml(path)
        .bind(lambda plain: decode_value(plain, ServiceDocument))
        .alt(_describe_malformed)
        .bind(check_document)
    )


def _read_toml(path: pathlib.Path) -> Result[dict, Failure]:
    try:
        return Success(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as error:
        expected = f"a readable UTF-8 file ({error})"
    except tomllib.TOMLDecodeError as error:
        expected = f"TOML ({error})"
    return ResultFailure(
        InvalidDocument(field="", value=repr(str(path)), expected=expected)
    )


def _describe_malformed(failure: Failure) -> Failure:
    if not isinstance(failure, MalformedMessage):
        return failure
    return InvalidDocument(
        field=failure.field, value=failure.value, expected=failure.expected
    )


@attrs.frozen
class _PreparedDocument:
    document: ServiceDocument
    as_json: bool


class ApplyCommand(ClientCommand):
    """`tanagerpath apply`."""

    name = "apply"
    summary = "put a service document in force"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the file and the output format."""
        super().add_arguments(parser)
        parser.add_argument("file", metavar="FILE", help="TOML document")
        parser.add_argument("--json", action="store_true", help="print the reply")

    def prepare(
        self, arguments: argparse.Namespace
    ) -> Result[_PreparedDocument, Failure]:
        """Read and validate the document."""
        document = read_document(pathlib.Path(arguments.file))
        return document.map(lambda content: _PreparedDocument(content, arguments.json))

    async def execute(
        self, client: EntryClient, prepared: _PreparedDocument
    ) -> Result[str, Failure]:
        """Send the document; an equal revision that is sent again has no effect."""
        document = prepared.document
        service = urllib.parse.quote(document.service, safe="")
        outcome = await client.ask(
            EntryRequest(
                "PUT",
                f"/v1/services/{service}/document",
                DocumentReply,
                encode_json(DocumentRequest(document)),
                lambda reply: _find_mismatch(reply, document),
            )
        )
        return outcome.map(lambda reply: _render(reply, prepared.as_json))


def _find_mismatch(reply: DocumentReply, document: ServiceDocument) -> str:
    if reply.document == document:
        return ""
    got = reply.document
    return f"document {got.service} revision {got.revision} with other content"


def _render(reply: DocumentReply, as_json: bool) -> str:
    if as_json:
        return encode_json(reply)
    document = reply.document
    return (
        f"service {document.service} revision {document.revision} is in force "
        f"(log index {reply.log_index})"
    )
