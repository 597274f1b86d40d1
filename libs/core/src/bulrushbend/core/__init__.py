"""Clock, errors, event log, logs, settings and manifest."""
