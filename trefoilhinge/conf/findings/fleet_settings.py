"""Checks of the platform's document beside the settings of an instance."""

from collections.abc import Iterator

from attrs import frozen

from trefoilhinge.conf.findings.fleet_context import (
    FleetContext,
    format_number,
)
from trefoilhinge.conf.findings.registry import Place, Registry
from trefoilhinge.dispatch.held_bytes import find_held_limits
from trefoilhinge.dispatch.settings import GatewaySettings


@frozen
class SettingsContext:
    """A document and the settings of an instance that is to read it."""

    fleet: FleetContext
    settings: GatewaySettings


SETTINGS_CHECKS: Registry[SettingsContext] = Registry()


@SETTINGS_CHECKS.register(
    'trefoilhinge.W231',
    'raise a bound of the retries, or write 1 attempt',
)
def _find_retries_without_budget(context: SettingsContext) -> Iterator[Place]:
    """A route allows several attempts, but the settings allow no retry."""
    bounds = context.settings.bounds
    if bounds.repeat_ratio > 0 or bounds.repeat_slack > 0:
        return
    for path, route in context.fleet.entries.routes.items():
        if route.attempts > 1 and route.is_repeatable:
            yield Place(
                path,
                f'{format_number(route.attempts)} attempts, but bounds.'
                'repeat_ratio and bounds.repeat_slack are 0',
            )


@SETTINGS_CHECKS.register(
    'trefoilhinge.W232',
    'set the ratio, or remove the rate of cold targets',
)
def _find_unbounded_cold_targets(context: SettingsContext) -> Iterator[Place]:
    """A service has a rate for cold targets, which the settings disable."""
    if context.settings.bounds.cold_ratio > 0:
        return
    for path, service in context.fleet.entries.services.items():
        if service.cold_requests_per_s > 0:
            yield Place(
                path,
                f'{service.cold_requests_per_s:g} requests per second to a '
                'cold target, but bounds.cold_ratio is 0',
            )


@SETTINGS_CHECKS.register(
    'trefoilhinge.W233',
    'lower the size of a request body, or give the process more memory',
)
def _find_large_bodies(context: SettingsContext) -> Iterator[Place]:
    """An accepted request body is larger than what an instance holds for one
    caller, so that its call is shed.
    """
    settings = context.settings
    held = find_held_limits(
        settings.memory_bytes, has_scarce_room=settings.has_scarce_room
    )
    bound = held.connection_bytes or held.instance_bytes
    body_bytes = context.fleet.document.limits.body_bytes
    if 0 < bound < body_bytes:
        yield Place(
            '$.limits',
            f'a body of {format_number(body_bytes)} bytes is accepted, and '
            f'{bound} bytes are held',
        )
