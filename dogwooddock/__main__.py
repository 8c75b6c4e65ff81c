"""Entry point of ``python -m dogwooddock``."""

from .operators.cli import main

if __name__ == "__main__":
    main()
