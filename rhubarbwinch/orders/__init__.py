"""Orders to endpoints, sent by one holder at a time."""
