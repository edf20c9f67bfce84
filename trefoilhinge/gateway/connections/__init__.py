"""The pool of connections to targets."""
