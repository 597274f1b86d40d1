"""Entry point for ``python -m bulrushbend.cli``."""

from bulrushbend.cli.main import main

if __name__ == "__main__":
    main()
