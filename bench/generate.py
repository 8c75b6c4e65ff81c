"""Generate the thrift code, or check that the committed code is up to date.

Without the thrift compiler nothing is generated or compared.
"""

import filecmp
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

PEERS_PACKAGE = Path(__file__).resolve().parent.parent / "dogwooddock" / "peers"
GENERATED_FILES = ("__init__.py", "constants.py", "ttypes.py", "Peer.py")


def generate(folder: Path) -> Path:
    """Run the thrift compiler and return the folder with the generated package.

    Raises:
        subprocess.CalledProcessError: If the compiler fails.
    """
    source = PEERS_PACKAGE / "peer.thrift"
    command = ["thrift", "--gen", "py:slots", "-out", str(folder), str(source)]
    subprocess.run(command, check=True)
    return folder / "dogwooddock" / "peers" / "wire"


def main() -> int:
    """Update the committed code; with ``--check``, return 1 if it is stale."""
    if shutil.which("thrift") is None:
        print("thrift compiler not found: generated code not compared")
        return 0
    with tempfile.TemporaryDirectory() as folder:
        output = generate(Path(folder))
        if "--check" not in sys.argv:
            (PEERS_PACKAGE / "wire").mkdir(exist_ok=True)
            for name in GENERATED_FILES:
                shutil.copy(output / name, PEERS_PACKAGE / "wire" / name)
            return 0
        stale = [
            name
            for name in GENERATED_FILES
            if not filecmp.cmp(
                output / name, PEERS_PACKAGE / "wire" / name, shallow=False
            )
        ]
    if stale:
        print(f"stale thrift code: {', '.join(stale)}; run 'make generate'")
        return 1
    print("generated thrift code is up to date")
    return 0


if __name__ == "__main__":
    sys.exit(main())
