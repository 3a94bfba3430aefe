"""Write the archive of the modules that a start loads: python3 -S -OO deploy/archive.py FILE."""

import sys
from pathlib import Path
from types import CodeType, ModuleType

import instance  # noqa: F401  (loads all modules of a start)
from module_archive import write_archive


def find_code(module: ModuleType) -> tuple[CodeType, str, bool] | None:
    """Return the code of a module, its source and if it is a package; None if it has no source."""
    spec = getattr(module, "__spec__", None)
    if spec is None or spec.origin is None or not spec.origin.endswith(".py"):
        return None
    code = spec.loader.get_code(spec.name)
    return code, spec.origin, spec.submodule_search_locations is not None


def main() -> None:
    """Collect the modules that have been loaded, but for those of this folder."""
    folder = Path(__file__).resolve().parent
    modules = {}
    for name, module in sys.modules.items():
        found = find_code(module)
        if found is not None and Path(found[1]).resolve().parent != folder:
            modules[name] = found
    write_archive(sys.argv[1], str(folder.parent), modules)


if __name__ == "__main__":
    main()
