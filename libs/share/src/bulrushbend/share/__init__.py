"""Fleet-wide accounting and fair choice of teams."""
