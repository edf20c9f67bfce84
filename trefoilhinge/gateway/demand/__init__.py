"""Short calls of the fleet, as this instance hears of them."""
