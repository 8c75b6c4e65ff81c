"""Generate the thrift code, or check that the committed code is current."""

import filecmp
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent / "dogwooddock" / "peers"
GENERATED = ("__init__.py", "constants.py", "ttypes.py", "Peer.py")


def generate(folder: Path) -> Path:
    """Run the generator and return the folder with its output."""
    source = PACKAGE / "peer.thrift"
    command = ["thrift", "--gen", "py:slots", "-out", str(folder), str(source)]
    subprocess.run(command, check=True)
    return folder / "dogwooddock" / "peers" / "wire"


def main() -> int:
    """Generate or, with ``--check``, compare."""
    if shutil.which("thrift") is None:
        print("thrift generator absent: generated code not compared")
        return 0
    with tempfile.TemporaryDirectory() as folder:
        output = generate(Path(folder))
        if "--check" not in sys.argv:
            (PACKAGE / "wire").mkdir(exist_ok=True)
            for name in GENERATED:
                shutil.copy(output / name, PACKAGE / "wire" / name)
            return 0
        stale = [
            name
            for name in GENERATED
            if not filecmp.cmp(output / name, PACKAGE / "wire" / name, shallow=False)
        ]
    if stale:
        print(f"stale thrift code: {', '.join(stale)}; run 'make generate'")
        return 1
    print("generated thrift code is current")
    return 0


if __name__ == "__main__":
    sys.exit(main())
