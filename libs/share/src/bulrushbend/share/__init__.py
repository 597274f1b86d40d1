"""Fleet-wide fair-share accounting and team selection."""
