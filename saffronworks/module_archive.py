"""Loads the modules of a start from one file, in place of several files for each of them.

A node imports some 470 modules, and looking for their files takes most of the system calls of its
start. The build imports the program once and writes the code of every module that was loaded;
the program then finds them there. Whatever is not in the archive is imported as usual.

attrs generates the methods of some 230 classes as source text; compiling it takes a quarter of the
processor time of a start. The archive holds that code as well.
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
# Modules are stored in the order in which a start loads them, so few reads serve all.
_READ_BYTES = 1 << 20
_LIBRARY = os.path.dirname(os.__file__)

# Name, whether its path is relative to the root (else to the standard library), path, whether it is
# a package, offset and length of its code; a length of 0 stands for an extension module.
_Entry = tuple[str, bool, str, bool, int, int]
# Code of generated methods by the file name that attrs makes up from module and class. Their text
# differs between processes by the salt of the hash function, which may be any constant.
_Generated = dict[str, CodeType]


class BadArchive(Exception):
    """The file is no archive, or was written by another version of the interpreter."""


class _ArchivedLoader(SourceFileLoader):
    """A source loader whose code comes from the archive."""

    def __init__(self, archive: "_Archive", name: str, path: str):
        super().__init__(name, path)
        self._archive = archive

    def get_code(self, fullname: str) -> CodeType | None:
        """The code of a module; of another one than the loader's, from its source."""
        return self._archive.read_code(fullname) or super().get_code(fullname)


class _Archive:
    """A finder of the modules in an open archive."""

    def __init__(self, file: BinaryIO, root: str):
        self._file = file
        self._root = root
        self._lock = threading.Lock()
        entries, self.generated, self._code_from = _read_index(file)
        self._entries = {entry[0]: entry for entry in entries}

    def find_spec(
        self, name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """The spec of an archived module; None leaves it to the other finders."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        _, in_root, relative, is_package, _, length = entry
        file = os.path.join(self._root if in_root else _LIBRARY, relative)
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
        """The code object of an archived module."""
        entry = self._entries.get(name)
        if entry is None or not entry[5]:
            return None
        with self._lock:
            self._file.seek(self._code_from + entry[4])
            return marshal.loads(self._file.read(entry[5]))


def _read_index(file: BinaryIO) -> tuple[list[_Entry], _Generated, int]:
    size = os.fstat(file.fileno()).st_size
    length = int.from_bytes(file.read(_LENGTH_BYTES), "big")
    if length > size:
        raise BadArchive("its index is cut off")
    try:
        magic, entries, generated = marshal.loads(file.read(length))
    except (EOFError, ValueError, TypeError) as error:
        raise BadArchive(f"no index: {error}") from error
    if magic != importlib.util.MAGIC_NUMBER:
        raise BadArchive("written by another version of the interpreter")
    code_from = _LENGTH_BYTES + length
    if size != code_from + sum(entry[5] for entry in entries):
        raise BadArchive("its code is cut off")
    return entries, generated, code_from


@contextmanager
def archived_imports(path: str, root: str) -> Iterator[None]:
    """Import from the archive at `path` first; paths of modules are relative to `root`.

    Raises OSError or BadArchive, and changes nothing then.
    """
    with open(path, "rb", buffering=_READ_BYTES) as file:
        archive = _Archive(file, root)
        sys.meta_path.insert(0, archive)
        _compile_by(archive.generated)
        try:
            yield
        finally:
            sys.meta_path.remove(archive)
            _compile_as_usual()


def record_generated() -> _Generated:
    """The code that attrs generates from now on, for `write_archive`."""
    generated: _Generated = {}
    _compile_by(generated)
    return generated


def _compile_by(generated: _Generated) -> None:
    """Have attrs look for generated code here first; what is new is compiled and added.

    attrs compiles by the built-in function, which a global of its module hides.
    """
    import attr._make as attrs_module  # noqa: PLC0415  # from the archive, once that is installed

    def compile_once(source: str, filename: str, mode: str) -> CodeType:
        if filename not in generated:
            generated[filename] = compile_source(source, filename, mode)
        return generated[filename]

    vars(attrs_module)["compile"] = compile_once


def _compile_as_usual() -> None:
    import attr._make as attrs_module  # noqa: PLC0415  # see _compile_by

    vars(attrs_module).pop("compile", None)


def write_archive(path: str, root: str, generated: _Generated) -> int:
    """Write all modules that this process has loaded from files, and code that attrs generated.

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
    # A process that starts meanwhile reads the old file or the new one, never a part.
    unfinished = f"{path}.new"
    with open(unfinished, "wb") as file:
        file.write(len(index).to_bytes(_LENGTH_BYTES, "big") + index + b"".join(codes))
    os.replace(unfinished, path)
    return len(entries)


def _loaded_specs() -> Iterator[tuple[str, ModuleSpec]]:
    for name, module in list(sys.modules.items()):
        spec = getattr(module, "__spec__", None)
        if spec is None or spec.name != name:
            continue
        if type(spec.loader) in (SourceFileLoader, ExtensionFileLoader):
            yield name, spec


def _locate(file: str, root: str) -> tuple[bool, str] | None:
    """Whether a file is below the root, and its path from there or from the standard library."""
    for in_root, base in ((True, root), (False, _LIBRARY)):
        if file.startswith(base + os.sep):
            return in_root, os.path.relpath(file, base)
    return None
