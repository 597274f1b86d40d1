"""Load generator: bounded traffic of several teams, with checked answers."""
