"""Generates attrs classes from the JSON Schemas of this package.

Run ``python -m trefoilhinge.conf.generator`` to write the modules, or with
``--check`` to compare them with what is committed.
"""

import json
import pathlib
import sys
from collections.abc import Mapping
from typing import Any

import jinja2

SCHEMA_FOLDER = pathlib.Path(__file__).parent
MODULES = ('document', 'settings', 'messages', 'status', 'belief')
_SCALARS = {
    'integer': 'int',
    'number': 'float',
    'string': 'str',
    'boolean': 'bool',
}
_TEMPLATE = '''\
"""{{ title }}: generated from {{ source }}; do not edit."""

from attrs import frozen

{% for item in classes %}
@frozen(kw_only=True)
class {{ item.name }}:
    """{{ item.description }}
{% for one in item.fields %}
    :ivar {{ one.name }}: {{ one.description }}
{%- endfor %}
    """
{% for one in item.fields %}
    {{ one.name }}: {{ one.kind }}{{ one.default }}
{%- endfor %}

{% endfor %}'''

Schema = Mapping[str, Any]


def find_annotation(schema: Schema, definitions: Schema) -> str:
    """Return the type annotation of a property.

    :param schema: schema of the property.
    :param definitions: ``$defs`` of the whole schema.
    """
    if '$ref' in schema:
        name = schema['$ref'].rpartition('/')[2]
        if definitions[name]['type'] == 'object':
            return str(name)
        return find_annotation(definitions[name], definitions)
    if 'anyOf' in schema:
        return f'{find_annotation(schema["anyOf"][0], definitions)} | None'
    if schema['type'] == 'array':
        return f'tuple[{find_annotation(schema["items"], definitions)}, ...]'
    return _SCALARS[schema['type']]


def format_default(schema: Schema, required: bool) -> str:
    """Return the default of a property as source code, empty if none."""
    if required:
        return ''
    value = schema['default']
    if isinstance(value, list):
        value = tuple(value)
    return f' = {value!r}'


def describe_class(
    name: str,
    schema: Schema,
    definitions: Schema,
) -> dict[str, Any]:
    """Return the template context of one class."""
    required = schema.get('required', [])
    return {
        'name': name,
        'description': schema['description'],
        'fields': [
            {
                'name': key,
                'kind': find_annotation(one, definitions),
                'default': format_default(one, key in required),
                'description': one['description'],
            }
            for key, one in schema['properties'].items()
        ],
    }


def load_schema(module: str) -> Schema:
    """Load the schema of a generated module."""
    path = SCHEMA_FOLDER / f'{module}.schema.json'
    schema: Schema = json.loads(path.read_text(encoding='utf-8'))
    return schema


def render_module(module: str) -> str:
    """Return the source code of a generated module."""
    schema = load_schema(module)
    definitions = schema.get('$defs', {})
    classes = [
        describe_class(name, one, definitions)
        for name, one in sort_definitions(definitions)
    ]
    classes.append(describe_class(schema['title'], schema, definitions))
    template = jinja2.Environment(autoescape=False).from_string(_TEMPLATE)
    text = template.render(
        title=schema['title'],
        source=f'{module}.schema.json',
        classes=classes,
    )
    return f'{text.rstrip()}\n'


def sort_definitions(definitions: Schema) -> list[tuple[str, Schema]]:
    """Return the object definitions, each after those that it references."""
    objects = {
        name: one
        for name, one in definitions.items()
        if one['type'] == 'object'
    }
    ordered: list[tuple[str, Schema]] = []
    emitted: set[str] = set()
    while len(emitted) < len(objects):
        for name, one in objects.items():
            if (
                name not in emitted
                and _find_referenced(one, objects) <= emitted
            ):
                emitted.add(name)
                ordered.append((name, one))
    return ordered


def _find_referenced(schema: Schema, objects: Schema) -> set[str]:
    text = json.dumps(schema)
    return {name for name in objects if f'"#/$defs/{name}"' in text}


def write_modules() -> None:
    """Write every generated module."""
    for module in MODULES:
        path = SCHEMA_FOLDER / 'generated' / f'{module}.py'
        path.write_text(render_module(module), encoding='utf-8')


def find_stale_modules() -> list[str]:
    """Return the modules whose committed source is out of date."""
    return [
        module
        for module in MODULES
        if (SCHEMA_FOLDER / 'generated' / f'{module}.py').read_text(
            encoding='utf-8'
        )
        != render_module(module)
    ]


def main(arguments: list[str]) -> int:
    """Write or check the generated modules; return the exit status."""
    if arguments == ['--check']:
        stale = find_stale_modules()
        for module in stale:
            print(f'generated/{module}.py is stale: run make generate')
        return int(bool(stale))
    write_modules()
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
