"""Words of a form: labels, help and values, from the schema."""

from collections.abc import Mapping
from typing import Any

from trefoilhinge.console.pointers import is_scalar_list


def format_label(name: str) -> str:
    """Return the label of a field, its unit written out."""
    words = name.replace('_per_s', ' a second').replace('_s', ' (seconds)')
    words = words.replace('_per_minute', ' a minute').replace('_', ' ')
    return words[:1].upper() + words[1:]


def make_help_text(schema: Mapping[str, Any], required: bool) -> str:
    """Return the help of a field: description, form, range and default."""
    parts = [schema.get('description', '')]
    if '$comment' in schema:
        parts.append(f'Write {schema["$comment"]}.')
    bounds = _format_bounds(schema)
    if bounds:
        parts.append(f'{bounds}.')
    if schema['type'] == 'array' and is_scalar_list(schema):
        parts.append('One a line.')
    default = format_value(schema.get('default'))
    if default and not required:
        parts.append(f'Empty takes {default}.')
    return ' '.join(part for part in parts if part)


def _format_bounds(schema: Mapping[str, Any]) -> str:
    bounds = [
        f'{words} {schema[name]:,}'
        for name, words in (
            ('minimum', 'at least'),
            ('exclusiveMinimum', 'above'),
            ('maximum', 'at most'),
        )
        if name in schema
    ]
    text = ', '.join(bounds)
    return text[:1].upper() + text[1:]


def format_value(value: Any) -> str:
    """Return a value as a control shows it."""
    if value is None:
        return ''
    if isinstance(value, bool):
        return 'true' if value else 'false'
    if isinstance(value, list):
        return '\n'.join(format_value(one) for one in value)
    return str(value)
