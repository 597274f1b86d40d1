"""Protocol messages and HTTP client exchanges between processes."""
