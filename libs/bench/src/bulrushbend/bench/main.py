"""Command line of the benchmarks: ``python -m bulrushbend.bench.main COMMAND``."""

import fire

from bulrushbend.bench.registry import load_commands


def main() -> None:
    """Run the command named on the command line; without a command, list them all."""
    fire.Fire(load_commands(), name="bulrushbend-bench")


if __name__ == "__main__":
    main()
