"""Cores of the gateway: routes, targets, loads, placement and budgets.

Nothing here opens a socket, reads a clock or draws a random number: the time
is an argument, in monotonic seconds.
"""
