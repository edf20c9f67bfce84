import pathlib

from attrs import evolve

from trefoilhinge.conf.deprecations import find_deprecations
from trefoilhinge.conf.differences import describe_differences
from trefoilhinge.conf.document import parse_document
from trefoilhinge.conf.keys import generate_key
from trefoilhinge.core.api_keys import parse_api_key, verify_secret

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
KANDY = parse_document((EXAMPLES / 'kandy.json').read_text()).ok


def change_first(items, **changes):
    return (evolve(items[0], **changes), *items[1:])


class TestDifferences:
    def test_equal_documents_have_no_differences(self):
        assert describe_differences(KANDY, KANDY) == []

    def test_changed_limits_are_described(self):
        new = evolve(
            KANDY,
            organisations=change_first(
                KANDY.organisations, tokens_per_s=200000.0, services=('desk',)
            ),
        )
        assert describe_differences(KANDY, new) == [
            'hotel-desk may now use 200,000 tokens per second, was 400,000',
            'hotel-desk: services without writer',
        ]

    def test_added_and_removed_items_are_described(self):
        service = KANDY.services[0]
        removed = service.targets[0].name
        new = evolve(
            KANDY,
            organisations=KANDY.organisations[1:],
            services=change_first(KANDY.services, targets=service.targets[1:]),
        )
        assert describe_differences(KANDY, new) == [
            'organisation hotel-desk is removed',
            f'writer: target {removed} is removed',
        ]
        assert 'organisation hotel-desk is added' in describe_differences(
            new, KANDY
        )

    def test_changed_paths_and_desired_state_are_described(self):
        desk = KANDY.services[1]
        new = evolve(
            KANDY,
            services=(
                evolve(KANDY.services[0], desired=None),
                evolve(
                    desk,
                    paths=(
                        evolve(
                            desk.paths[0],
                            idempotent=not desk.paths[0].idempotent,
                        ),
                        *desk.paths[1:],
                    ),
                ),
            ),
        )
        first, second = describe_differences(KANDY, new)
        assert first.startswith('writer: desired is now none, was model')
        assert 'may now be retried' in second

    def test_salts_and_hashes_of_keys_are_never_shown(self):
        generated = generate_key()
        new = evolve(
            KANDY,
            organisations=change_first(
                KANDY.organisations, keys=(generated.entry,)
            ),
        )
        other = evolve(
            KANDY,
            organisations=change_first(
                KANDY.organisations,
                keys=(evolve(generated.entry, salt='0' * 32),),
            ),
        )
        for pair in ((KANDY, new), (new, KANDY), (new, other)):
            text = '\n'.join(describe_differences(*pair))
            assert generated.entry.identifier in text
            assert generated.entry.digest not in text
            assert generated.entry.salt not in text


class TestKeys:
    def test_generated_key_matches_its_entry(self):
        generated = generate_key()
        presented = parse_api_key(generated.key)
        assert presented.identifier == generated.entry.identifier
        assert verify_secret(
            presented.secret, generated.entry.salt, generated.entry.digest
        )


class TestDeprecations:
    def test_deprecated_field_is_found_at_its_path(self):
        schema = {
            'properties': {
                'many': {'type': 'array', 'items': {'$ref': '#/$defs/One'}}
            }
        }
        one = {
            'properties': {
                'old': {'deprecated': True, '$comment': 'write "new"'},
                'new': {'type': 'string'},
            }
        }
        found = find_deprecations(
            {'many': [{'new': 'x'}, {'old': 'x'}]}, schema, {'One': one}
        )
        assert [str(each) for each in found] == [
            '$.many[1].old: this field is deprecated; write "new"'
        ]
