"""Load modules from one file, which holds the compiled code of all modules of a start.

The usual import searches folders, and opens and reads a file for each of some 300 modules, which is
a sixth of a start. The archive is read module by module, so that it takes no memory itself. It
holds code alone: extension modules and other files of a package are found where they are installed.

An archive counts for the interpreter that wrote it. For any other, all is imported as usual. The
folder in which the sources lie may be moved with it.
"""

import marshal
import os
import sys
from importlib.machinery import ModuleSpec
from types import CodeType, ModuleType

__all__ = ["ModuleArchive", "install_archive", "write_archive"]

_SIZE_BYTES = 8


class ModuleArchive:
    """A finder and loader of the modules in an archive, for `sys.meta_path`."""

    __slots__ = ("_code_position", "_descriptor", "_entries", "_root")

    def __init__(
        self,
        descriptor: int,
        root: str,
        code_position: int,
        entries: dict[str, tuple[int, int, str, bool]],
    ) -> None:
        self._descriptor = descriptor
        self._root = root
        self._code_position = code_position
        # The position and size of the code, the path of the source, whether it is a package.
        self._entries = entries

    def find_spec(
        self, name: str, path: object = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return how to load a module, or None if the archive has no such module."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        _, _, path_from_root, is_package = entry
        source = os.path.join(self._root, path_from_root)
        spec = ModuleSpec(name, self, origin=source, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [os.path.dirname(source)]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Let the import system make the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Run the code of a module."""
        position, size, *_ = self._entries[module.__name__]
        data = os.pread(self._descriptor, size, self._code_position + position)
        exec(marshal.loads(data), module.__dict__)


def install_archive(path: str, root: str) -> bool:
    """Load modules from an archive from now on; return False if this interpreter cannot use it.

    `root` is the folder that `write_archive` was told, wherever it lies now.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except OSError:
        return False
    header = _read_header(descriptor)
    if header is None:
        os.close(descriptor)
        return False
    header_size, entries = header
    sys.meta_path.insert(0, ModuleArchive(descriptor, root, _SIZE_BYTES + header_size, entries))
    return True


def _read_header(descriptor: int) -> tuple[int, dict[str, tuple[int, int, str, bool]]] | None:
    """Return the header's size and entries, or None if it is not of this interpreter."""
    size = int.from_bytes(os.pread(descriptor, _SIZE_BYTES, 0), "little")
    if size > os.fstat(descriptor).st_size:
        return None
    try:
        interpreter, entries = marshal.loads(os.pread(descriptor, size, _SIZE_BYTES))
    except (ValueError, EOFError, TypeError):
        return None
    return (size, entries) if interpreter == _describe_interpreter() else None


def write_archive(path: str, root: str, modules: dict[str, tuple[CodeType, str, bool]]) -> None:
    """Write an archive of modules: their code, the paths of their sources, and if a package.

    Sources below the folder `root` are named by their paths from there.
    """
    entries, codes, position = {}, [], 0
    for name, (code, source, is_package) in sorted(modules.items()):
        data = marshal.dumps(code)
        source = os.path.abspath(source)
        if source.startswith(root + os.sep):
            source = os.path.relpath(source, root)
        entries[name] = (position, len(data), source, is_package)
        codes.append(data)
        position += len(data)
    header = marshal.dumps((_describe_interpreter(), entries))
    part = f"{path}.part"
    with open(part, "wb") as file:
        file.write(len(header).to_bytes(_SIZE_BYTES, "little"))
        file.write(header)
        file.writelines(codes)
    os.replace(part, path)


def _describe_interpreter() -> str:
    """Return what the code and the paths of the standard library depend on."""
    return f"{sys.version} {sys.flags.optimize} {os.__file__}"
