"""Messages between our processes, and what carries them."""
