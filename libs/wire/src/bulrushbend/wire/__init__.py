"""Messages and HTTP exchanges between processes."""
