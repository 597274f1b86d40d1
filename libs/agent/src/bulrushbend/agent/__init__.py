"""Agent daemon, which runs next to an endpoint and schedules its slots."""
