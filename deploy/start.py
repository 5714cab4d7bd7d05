"""Starts a node on the platform, with modules from the archive that the build wrote.

`python3 -S deploy/start.py --archive` writes the archive. Other arguments are passed to the node.
"""

import signal

# A reload that is asked for during the imports would end the process; the node reads its settings
# after them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import gc
import os
import sys
from collections.abc import Callable

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ARCHIVE = os.path.join(ROOT, "target", "modules.bin")


def main() -> None:
    """Write the archive, or run a node."""
    # Python puts the directory of this script first; the package is in the parent directory.
    sys.path[0] = ROOT
    # Imported objects are never freed; the node enables garbage collection after its imports.
    gc.disable()
    from saffronworks import module_archive  # noqa: PLC0415

    if sys.argv[1:] == ["--archive"]:
        generated = module_archive.record_generated()
        import_program()
        written = module_archive.write_archive(ARCHIVE, ROOT, generated)
        print(f"modules={written} archive={ARCHIVE}")
        return
    try:
        with module_archive.archived_imports(ARCHIVE, ROOT):
            import_program()
    except (OSError, module_archive.BadArchive) as error:
        print(f"level=WARNING module=start event=module_archive_unusable problem={str(error)!r}")
    import_program()()


def import_program() -> Callable[[], None]:
    """Import the node's modules and return its main function."""
    from saffronworks.platform.__main__ import main as run_node  # noqa: PLC0415

    return run_node


if __name__ == "__main__":
    main()
