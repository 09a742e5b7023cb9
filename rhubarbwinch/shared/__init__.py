"""What all programs use: time, errors, events, supervision, small types."""
