"""Command line: thin commands over functions that scripts may call too."""
