"""Admission of calls where their callers compete for too little capacity.

All instances announce the calls that wait with them, compute the same order
over these, and allot the same free capacity to the first of them.
"""
