"""Loads and checks settings files; reports all errors of a file at once."""

from __future__ import annotations

import functools
import json
from pathlib import Path
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from sardineferry.messages.target import TargetShape
from sardineferry.settings.agent import AgentSettings
from sardineferry.settings.entry import EntrySettings

__all__ = [
    "SettingsError",
    "check_settings",
    "load_agent_settings",
    "load_entry_settings",
]

ROLES = ("entry", "agent")


class SettingsError(NamedTuple):
    """An error in a settings file: the JSON path of the setting, and the reason.

    The path ``$`` stands for the whole file.
    """

    path: str
    reason: str


Document = dict[str, Any]
Errors = tuple[SettingsError, ...]


@functools.cache
def load_schema() -> Document:
    """Return the JSON schema, which has a definition for each role."""
    text = Path(__file__).with_name("schema.json").read_bytes()
    schema: Document = json.loads(text)
    return schema


def read_document(path: Path) -> Result[Document, Errors]:
    """Read a JSON object from a file."""
    try:
        document = json.loads(path.read_bytes())
    except OSError as error:
        return Failure((SettingsError("$", f"cannot read {path}: {error.strerror}"),))
    except ValueError as error:
        return Failure((SettingsError("$", f"not JSON: {error}"),))
    if not isinstance(document, dict):
        return Failure((SettingsError("$", "must be an object"),))
    return Success(document)


def check_document(document: Document) -> Result[Document, Errors]:
    """Check a document against the schema of its role."""
    # Imported here because the import doubles the start time, and programs that
    # read other settings do not need it.
    import jsonschema

    role = document.get("role")
    if role not in ROLES:
        return Failure((SettingsError("$.role", f"must be one of {list(ROLES)}"),))
    schema = {**load_schema(), "$ref": f"#/$defs/{role}"}
    validator = jsonschema.Draft202012Validator(schema)
    errors = tuple(
        SettingsError(error.json_path, error.message)
        for error in sorted(validator.iter_errors(document), key=lambda e: e.json_path)
    )
    return Failure(errors) if errors else Success(document)


def check_settings(path: Path) -> Result[Document, Errors]:
    """Read and check a settings file of any role."""
    return read_document(path).bind(check_document)


def load_entry_settings(path: Path) -> Result[EntrySettings, Errors]:
    """Load the settings of an entry."""
    fields = check_settings(path).bind(lambda doc: fields_for_role(doc, "entry"))
    return fields.map(lambda checked: EntrySettings(**lists_to_tuples(checked)))


def load_agent_settings(path: Path) -> Result[AgentSettings, Errors]:
    """Load the settings of an agent."""
    fields = check_settings(path).bind(lambda doc: fields_for_role(doc, "agent"))
    return fields.map(build_agent_settings)


def fields_for_role(document: Document, role: str) -> Result[Document, Errors]:
    """Return the fields of a checked document, or an error if it has another role."""
    if document["role"] != role:
        return Failure((SettingsError("$.role", f"must be {role!r}"),))
    return Success({key: item for key, item in document.items() if key != "role"})


def lists_to_tuples(fields: Document) -> Document:
    """Replace each field that is a list by a tuple."""
    return {
        key: tuple(item) if isinstance(item, list) else item
        for key, item in fields.items()
    }


def build_agent_settings(fields: Document) -> AgentSettings:
    """Build the settings of an agent from a checked document."""
    shape = TargetShape(**fields.pop("shape"))
    return AgentSettings(**lists_to_tuples(fields), shape=shape)
