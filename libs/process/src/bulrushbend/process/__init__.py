"""Common code of all daemons: lifecycle, active manifest and client of control."""
