"""Which connections to targets are kept, and which calls may use them."""
