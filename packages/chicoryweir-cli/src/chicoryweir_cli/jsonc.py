"""Parser of JSON with comments that records the position of every value."""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import math
import re

import tree_sitter
import tree_sitter_json

from chicoryweir_policy import store
from chicoryweir_policy.settings import difference
from chicoryweir_policy.settings import faults

MAX_FILE_BYTES = 16 << 20
MAX_DEPTH = 64
MAX_NUMBER_LENGTH = 300
MAX_SYNTAX_FAULTS = 100
_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())
_STRING_COMMENT_OR_EXPONENT_PLUS = re.compile(
    rb'("(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?(?:\*/|\Z))|(?<=[0-9])[eE]\+(?=[0-9])',
    re.DOTALL,
)
_CONSTANTS: dict[str, store.Json] = {"true": True, "false": False, "null": None}


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Position in a file; line and column start at 1, columns count characters."""

    line: int
    column: int


FILE_START = Position(1, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedFault:
    """A fault and its position in the file."""

    position: Position
    fault: faults.Fault


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """Content of a file.

    Attributes:
        document: Decoded document; not valid if there are faults.
        values: Position of each value by JSON pointer.
        keys: Position of each key by JSON pointer.
        located_faults: Syntax faults, including duplicate keys.
    """

    document: store.Json
    values: collections.abc.Mapping[str, Position]
    keys: collections.abc.Mapping[str, Position]
    located_faults: tuple[LocatedFault, ...]

    def locate(self, fault: faults.Fault) -> Position:
        """Returns the position of a fault, or of the nearest enclosing value."""
        path = fault.path
        if fault.is_key_fault and path in self.keys:
            return self.keys[path]
        while path not in self.values and path:
            path = path.rpartition("/")[0]
        return self.values.get(path, FILE_START)


def parse_bytes(data: bytes) -> ParsedFile:
    """Parses the content of a file; reports any problem as a fault, never raises."""
    if len(data) > MAX_FILE_BYTES:
        return _make_single_fault(FILE_START, "file is too long", f"{len(data)} bytes")
    data = data.removeprefix(b"\xef\xbb\xbf")
    try:
        data.decode()
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        begin = data.rfind(b"\n", 0, error.start) + 1
        column = len(data[begin : error.start].decode(errors="replace")) + 1
        byte = f"byte 0x{data[error.start]:02x}"
        return _make_single_fault(
            Position(line, column), "file is not UTF-8 text", byte
        )
    return _Parser(data).parse()


def _make_single_fault(position: Position, problem: str, found: str) -> ParsedFile:
    fault = faults.Fault("", problem, found, f"JSON text up to {MAX_FILE_BYTES} bytes")
    return ParsedFile(None, {}, {}, (LocatedFault(position, fault),))


class _Parser:
    """Decodes the syntax tree of one file and collects positions and faults."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._lines = data.split(b"\n")
        self._values: dict[str, Position] = {}
        self._keys: dict[str, Position] = {}
        self._located_faults: list[LocatedFault] = []

    def parse(self) -> ParsedFile:
        source = _remove_exponent_signs(self._data)
        root = tree_sitter.Parser(_LANGUAGE).parse(source).root_node
        document: store.Json = None
        top_nodes = [node for node in root.named_children if node.type != "comment"]
        if root.has_error:
            self._add_syntax_faults(root)
        elif len(top_nodes) != 1:
            node = top_nodes[1] if top_nodes else root
            self._add_fault(
                node, "", "file must contain exactly one value", "one JSON object"
            )
        if not self._located_faults:
            document = self._decode_value(top_nodes[0], "", 0)
        return ParsedFile(
            document, self._values, self._keys, tuple(self._located_faults)
        )

    def _add_syntax_faults(self, root: tree_sitter.Node) -> None:
        pending = [root]
        while pending and len(self._located_faults) < MAX_SYNTAX_FAULTS:
            node = pending.pop()
            if node.is_missing and not _is_trailing_comma(node):
                self._add_fault(
                    node, "", f"{node.type} is missing", f"{node.type} here"
                )
            elif node.type == "ERROR" and not _is_trailing_comma(node):
                self._add_fault(node, "", "text is not JSON", "JSON with comments")
            elif node.has_error:
                pending.extend(reversed(node.children))

    def _decode_value(
        self, node: tree_sitter.Node, path: str, depth: int
    ) -> store.Json:
        self._values[path] = self._locate(node)
        if depth > MAX_DEPTH:
            self._add_fault(
                node, path, "nested too deeply", f"up to {MAX_DEPTH} levels"
            )
            return None
        match node.type:
            case "object":
                return self._decode_object(node, path, depth)
            case "array":
                items = [n for n in node.named_children if _is_value(n)]
                return [
                    self._decode_value(item, f"{path}/{index}", depth + 1)
                    for index, item in enumerate(items)
                ]
            case "string":
                return self._decode_string(node, path)
            case "number":
                return self._decode_number(node, path)
            case _:
                return _CONSTANTS.get(_get_text(node))

    def _decode_object(
        self, node: tree_sitter.Node, path: str, depth: int
    ) -> dict[str, store.Json]:
        document: dict[str, store.Json] = {}
        for pair in node.named_children:
            key_node = pair.child_by_field_name("key")
            value_node = pair.child_by_field_name("value")
            if key_node is None or value_node is None:
                continue
            key = self._decode_string(key_node, path)
            member_path = difference.join_pointer(path, key)
            if key in document:
                first = self._keys[member_path]
                problem = f"duplicate key; first used in line {first.line}"
                self._add_fault(key_node, member_path, problem, "each key once")
                continue
            self._keys[member_path] = self._locate(key_node)
            document[key] = self._decode_value(value_node, member_path, depth + 1)
        return document

    def _decode_string(self, node: tree_sitter.Node, path: str) -> str:
        try:
            value = str(json.loads(_get_text(node)))
            value.encode()
        except ValueError:
            self._add_fault(node, path, "string is malformed", "a JSON string")
            return ""
        return value

    def _decode_number(self, node: tree_sitter.Node, path: str) -> int | float:
        text = _get_text(node)
        try:
            value = json.loads(text) if len(text) <= MAX_NUMBER_LENGTH else math.inf
        except ValueError:
            value = math.nan
        if isinstance(value, float) and not math.isfinite(value):
            self._add_fault(
                node, path, "number is malformed or too long", "a JSON number"
            )
            return 0
        return int(value) if isinstance(value, int) else float(value)

    def _add_fault(
        self, node: tree_sitter.Node, path: str, problem: str, allowed: str
    ) -> None:
        fault = faults.Fault(
            path, problem, faults.format_value(_get_text(node)), allowed
        )
        self._located_faults.append(LocatedFault(self._locate(node), fault))

    def _locate(self, node: tree_sitter.Node) -> Position:
        row, column = node.start_point
        before = self._lines[row][:column] if row < len(self._lines) else b""
        return Position(row + 1, len(before.decode(errors="replace")) + 1)


def _remove_exponent_signs(data: bytes) -> bytes:
    """Replaces `1e+9` by `1e09`, as the grammar rejects a plus sign in an exponent."""
    return _STRING_COMMENT_OR_EXPONENT_PLUS.sub(lambda match: match[1] or b"e0", data)


def _get_text(node: tree_sitter.Node) -> str:
    return (node.text or b"").decode(errors="replace")


def _is_value(node: tree_sitter.Node) -> bool:
    return node.type not in ("comment", "ERROR") and not node.is_missing


def _is_trailing_comma(node: tree_sitter.Node) -> bool:
    """Returns whether an error node is only a comma before a closing bracket."""
    before = node.prev_sibling
    after = node.next_sibling
    while before is not None and before.type == "comment":
        before = before.prev_sibling
    while after is not None and after.type == "comment":
        after = after.next_sibling
    if before is None or after is None:
        return False
    if node.type == "ERROR":
        return node.text == b"," and before.type == "pair" and after.type == "}"
    return before.type == "," and after.type == "]"
