"""Membership of instances and targets, and which targets are leaving."""
