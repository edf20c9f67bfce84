"""Labels, help texts and formatted values of form fields."""

from collections.abc import Mapping
from typing import Any

from trefoilhinge.console.pointers import is_scalar_list


def format_label(name: str) -> str:
    """Return the label of a field, with its unit spelt out."""
    label = name.replace('_per_s', ' per second').replace('_s', ' (seconds)')
    label = label.replace('_per_minute', ' per minute').replace('_', ' ')
    return label[:1].upper() + label[1:]


def make_help_text(schema: Mapping[str, Any], required: bool) -> str:
    """Return the help text of a field.

    It states the description, format, range and default.
    """
    parts = [schema.get('description', '')]
    if '$comment' in schema:
        parts.append(f'Write {schema["$comment"]}.')
    bounds = _format_bounds(schema)
    if bounds:
        parts.append(f'{bounds}.')
    if schema['type'] == 'array' and is_scalar_list(schema):
        parts.append('One per line.')
    default = format_value(schema.get('default'))
    if default and not required:
        parts.append(f'Defaults to {default} if empty.')
    return ' '.join(part for part in parts if part)


def _format_bounds(schema: Mapping[str, Any]) -> str:
    bounds = [
        f'{phrase} {schema[name]:,}'
        for name, phrase in (
            ('minimum', 'at least'),
            ('exclusiveMinimum', 'above'),
            ('maximum', 'at most'),
        )
        if name in schema
    ]
    text = ', '.join(bounds)
    return text[:1].upper() + text[1:]


def format_value(value: Any) -> str:
    """Return the text of a value in its control."""
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return '\n'.join(format_value(item) for item in value)
    return str(value)
