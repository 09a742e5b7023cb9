"""Small stand-ins for the external systems that the product talks to."""
