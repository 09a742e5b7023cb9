"""How an accepted configuration gets from operators to every process."""
