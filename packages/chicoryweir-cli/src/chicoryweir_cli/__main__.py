"""Entry point of the `chicoryweir` command."""

from __future__ import annotations

from chicoryweir_cli import app


def main() -> None:
    """Runs the command line."""
    app.app()


if __name__ == "__main__":
    main()
