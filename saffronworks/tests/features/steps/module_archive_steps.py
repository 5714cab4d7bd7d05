"""Scenarios on the archive of modules; each runs its programs in new interpreters."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from behave import given, then, when

import saffronworks

REPOSITORY = str(Path(saffronworks.__file__).parent.parent)
PROGRAM = """
import attrs

@attrs.frozen
class Point:
    x_m: int
    y_m: int = 2
"""
WRITE = """
import sys
from saffronworks import module_archive
generated = module_archive.record_generated()
import points
module_archive.write_archive("archive", sys.argv[1], generated)
"""
READ = """
import sys
from saffronworks import module_archive
try:
    with module_archive.archived_imports("archive", sys.argv[1]):
        import points
except module_archive.BadArchive:
    assert not any("archive" in type(f).__module__ for f in sys.meta_path)
    sys.exit("bad archive")
import attr._make
assert "compile" not in vars(attr._make)
point = points.Point(1)
assert point == points.Point(1, 2) and hash(point) == hash(points.Point(1))
assert point != points.Point(2) and repr(point) == "Point(x_m=1, y_m=2)"
assert points.__file__.endswith("points.py")
print("served by", type(points.__spec__.loader).__name__)
"""


def run_code(context, code):
    return subprocess.run(
        [sys.executable, "-c", code, context.folder],
        cwd=context.folder,
        env={"PYTHONPATH": f"{context.folder}:{REPOSITORY}"},
        capture_output=True,
        text=True,
        check=False,
    )


@given("an archive of a small program, written by the build")
def write(context):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = str(Path(folder.name).resolve())
    Path(context.folder, "points.py").write_text(PROGRAM)
    written = run_code(context, WRITE)
    assert written.returncode == 0, written.stderr


@when("a process imports the program while its source is gone")
def import_without_source(context):
    Path(context.folder, "points.py").unlink()
    context.result = run_code(context, READ)


@when("the archive is {damage}")
def damage(context, damage):
    path = Path(context.folder, "archive")
    data = path.read_bytes()
    damaged = {
        "empty": b"",
        "cut off in its index": data[:100],
        "cut off in its code": data[:-1],
        "no archive": b"#" * 5000,
    }
    path.write_bytes(damaged[damage])
    context.result = run_code(context, READ)


@then("its classes work as from source, and the import system is restored afterwards")
def works(context):
    assert context.result.returncode == 0, context.result.stderr
    assert context.result.stdout == "served by _ArchivedLoader\n", context.result.stdout


@then("the process reports it and leaves the import system unchanged")
def reports(context):
    assert context.result.stderr == "bad archive\n", context.result.stderr
