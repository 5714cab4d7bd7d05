"""Loads the modules that a program imports at its start from a single archive file.

A node imports about 470 modules, and most system calls of its start search for their files. The
build imports the program once and writes the code of all loaded modules to the archive. Modules
that are not in the archive are imported as usual.

attrs generates the methods of about 230 classes as source text, and compiling them takes a quarter
of the processor time of a start. The archive therefore holds the compiled methods as well.
"""

import importlib.util
import marshal
import os
import sys
import threading
from builtins import compile as compile_source
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from importlib.machinery import (
    ExtensionFileLoader,
    ModuleSpec,
    SourceFileLoader,
)
from types import CodeType, ModuleType
from typing import Any, BinaryIO

__all__ = ["BadArchive", "archived_imports", "record_generated", "write_archive"]

_LENGTH_BYTES = 8
# Modules are stored in the order of their import, so a few large reads cover all of them.
_READ_BYTES = 1 << 20
_STANDARD_LIBRARY = os.path.dirname(os.__file__)

# Name, whether the path is relative to the root (else to the standard library), path, whether it is
# a package, offset and length of the code. Extension modules have a length of 0.
_Entry = tuple[str, bool, str, bool, int, int]
# Code of generated methods by the pseudo file name that attrs derives from module and class. Their
# source differs between processes only in the salt of `__hash__`, for which any constant is valid.
_Generated = dict[str, CodeType]


class BadArchive(Exception):
    """The file is not a valid archive, or another version of the interpreter wrote it."""


class _ArchivedLoader(SourceFileLoader):
    """A source loader whose code comes from the archive."""

    def __init__(self, archive: "_Archive", name: str, path: str):
        super().__init__(name, path)
        self._archive = archive

    def get_code(self, fullname: str) -> CodeType | None:
        """Return the code of a module; if it is not in the archive, from its source."""
        return self._archive.read_code(fullname) or super().get_code(fullname)


class _Archive:
    """An import finder for the modules in an open archive."""

    def __init__(self, file: BinaryIO, root: str):
        self._file = file
        self._root = root
        self._lock = threading.Lock()
        entries, self.generated, self._code_offset = _read_index(file)
        self._entries = {entry[0]: entry for entry in entries}

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of an archived module, or None to defer to the other finders."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        _, is_in_root, relative, is_package, _, length = entry
        file = os.path.join(self._root if is_in_root else _STANDARD_LIBRARY, relative)
        loader: Any = (
            _ArchivedLoader(self, name, file) if length else ExtensionFileLoader(name, file)
        )
        return importlib.util.spec_from_file_location(
            name,
            file,
            loader=loader,
            submodule_search_locations=[os.path.dirname(file)] if is_package else None,
        )

    def read_code(self, name: str) -> CodeType | None:
        """Return the code object of a module, or None if the archive has none."""
        entry = self._entries.get(name)
        if entry is None or not entry[5]:
            return None
        with self._lock:
            self._file.seek(self._code_offset + entry[4])
            return marshal.loads(self._file.read(entry[5]))


def _read_index(file: BinaryIO) -> tuple[list[_Entry], _Generated, int]:
    size = os.fstat(file.fileno()).st_size
    length = int.from_bytes(file.read(_LENGTH_BYTES), "big")
    if length > size:
        raise BadArchive("the index is truncated")
    try:
        magic, entries, generated = marshal.loads(file.read(length))
    except (EOFError, ValueError, TypeError) as error:
        raise BadArchive(f"the index is malformed: {error}") from error
    if magic != importlib.util.MAGIC_NUMBER:
        raise BadArchive("written by another version of the interpreter")
    code_offset = _LENGTH_BYTES + length
    if size != code_offset + sum(entry[5] for entry in entries):
        raise BadArchive("the code is truncated")
    return entries, generated, code_offset


@contextmanager
def archived_imports(path: str, root: str) -> Iterator[None]:
    """Import modules from the archive at `path` where possible; module paths are below `root`.

    Raises OSError or BadArchive before it changes the import system.
    """
    with open(path, "rb", buffering=_READ_BYTES) as file:
        archive = _Archive(file, root)
        sys.meta_path.insert(0, archive)
        _install_compile(archive.generated)
        try:
            yield
        finally:
            sys.meta_path.remove(archive)
            _restore_compile()


def record_generated() -> _Generated:
    """Return a dict that collects the code that attrs generates from now on."""
    generated: _Generated = {}
    _install_compile(generated)
    return generated


def _install_compile(generated: _Generated) -> None:
    """Make attrs take compiled code from `generated`, and add the code that is missing there.

    attrs calls the builtin `compile`; a global of this name in its module shadows the builtin.
    """
    import attr._make as attrs_module  # noqa: PLC0415  # so that it is loaded from the archive

    def compile_once(source: str, filename: str, mode: str) -> CodeType:
        if filename not in generated:
            generated[filename] = compile_source(source, filename, mode)
        return generated[filename]

    vars(attrs_module)["compile"] = compile_once


def _restore_compile() -> None:
    import attr._make as attrs_module  # noqa: PLC0415  # see _install_compile

    vars(attrs_module).pop("compile", None)


def write_archive(path: str, root: str, generated: _Generated) -> int:
    """Write all modules that this process has loaded from files, and the code in `generated`.

    Returns the number of modules.
    """
    entries: list[_Entry] = []
    codes: list[bytes] = []
    offset = 0
    for name, spec in _loaded_specs():
        located = _locate(spec.origin or "", root)
        if located is None:
            continue
        code = b""
        if isinstance(spec.loader, SourceFileLoader):
            code = marshal.dumps(spec.loader.get_code(name))
        is_package = spec.submodule_search_locations is not None
        entries.append((name, *located, is_package, offset, len(code)))
        codes.append(code)
        offset += len(code)
    index = marshal.dumps((importlib.util.MAGIC_NUMBER, entries, generated))
    # The rename is atomic: a process that starts meanwhile never reads a partial file.
    temporary = f"{path}.new"
    with open(temporary, "wb") as file:
        file.write(len(index).to_bytes(_LENGTH_BYTES, "big") + index + b"".join(codes))
    os.replace(temporary, path)
    return len(entries)


def _loaded_specs() -> Iterator[tuple[str, ModuleSpec]]:
    for name, module in list(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        if spec is None or spec.name != name:
            continue
        if type(spec.loader) in (SourceFileLoader, ExtensionFileLoader):
            yield name, spec


def _locate(file: str, root: str) -> tuple[bool, str] | None:
    """Return whether a file's base directory is the root, and its path relative to the base.

    The base is the root or the standard library. For files elsewhere the result is None.
    """
    for is_in_root, base in ((True, root), (False, _STANDARD_LIBRARY)):
        if file.startswith(base + os.sep):
            return is_in_root, os.path.relpath(file, base)
    return None
