"""Dispatch logic of the gateway: routing, placement, load and retry budgets.

The modules do no I/O, read no clock and use no randomness. The current time
is passed in, as monotonic seconds.
"""
