"""Run the command line with ``python -m dogwooddock``."""

from .operators.cli import main

if __name__ == "__main__":
    main()
