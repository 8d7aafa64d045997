"""Client and follower of the platform's append-only log."""
