"""Load tool: bounded traffic of several teams, with checked answers."""
