"""What all daemons share: start, stop, manifest in force and watch of control."""
