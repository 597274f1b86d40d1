"""Command line of the measuring tool: ``python -m bulrushbend.bench.main COMMAND``."""

import fire

from bulrushbend.bench.registry import load_commands


def main() -> None:
    """Run one measuring command, or list them."""
    fire.Fire(load_commands(), name="bulrushbend-bench")


if __name__ == "__main__":
    main()
