"""Small stand-ins for the outside systems that the product meets."""
