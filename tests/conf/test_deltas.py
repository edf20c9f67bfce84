import json
import pathlib

from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilhinge.conf import deltas
from trefoilhinge.conf.document import digest_text, parse_document

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
KANDY = deltas.canonicalise_text((EXAMPLES / 'kandy.json').read_text())


def change(text, edit):
    fields = json.loads(text)
    edit(fields)
    return deltas.canonicalise_text(json.dumps(fields))


def raise_limit(fields):
    fields['revision'] += 1
    fields['organisations'][0]['tokens_per_s'] += 1


def remove_target(fields):
    fields['revision'] += 1
    fields['services'][0]['targets'].pop()


class TestCanonicalText:
    def test_it_is_a_valid_document(self):
        assert parse_document(KANDY).is_ok()

    def test_order_and_whitespace_do_not_matter(self):
        fields = json.loads(KANDY)
        fields['organisations'].reverse()
        other = json.dumps(dict(reversed(fields.items())), indent=3)
        assert deltas.canonicalise_text(other) == KANDY


class TestDelta:
    def test_applying_it_to_the_old_text_gives_the_new(self):
        for edit in (raise_limit, remove_target):
            new = change(KANDY, edit)
            delta = deltas.make_delta(KANDY, new)
            assert deltas.apply_delta(KANDY, delta).ok == new
            assert len(delta.changes) == 2

    def test_delta_of_one_limit_is_much_shorter_than_the_document(self):
        new = change(KANDY, raise_limit)
        text = deltas.encode_deltas((deltas.make_delta(KANDY, new),))
        assert len(text) < len(KANDY) / 4

    def test_another_base_is_rejected(self):
        newer = change(KANDY, raise_limit)
        delta = deltas.make_delta(newer, change(newer, raise_limit))
        assert deltas.apply_delta(KANDY, delta).is_error()

    def test_corrupted_delta_is_rejected(self):
        delta = deltas.make_delta(KANDY, change(KANDY, raise_limit))
        for text in ('', '[]', '{"name": 3}', 'nothing'):
            parts = (deltas.PartChange('services', 'writer', text),)
            corrupted = deltas.DocumentDelta(delta.base, delta.digest, parts)
            assert deltas.apply_delta(KANDY, corrupted).is_error()

    @settings(derandomize=True, max_examples=200)
    @given(st.text() | st.lists(st.dictionaries(st.text(), st.text())))
    def test_any_text_is_decoded_or_rejected(self, value):
        text = value if isinstance(value, str) else json.dumps(value)
        assert deltas.decode_deltas(text) is not None


class TestDeltaHistory:
    def test_chain_from_a_document_in_the_history_gives_the_newest(self):
        history = deltas.DeltaHistory()
        texts = [KANDY]
        for _ in range(5):
            texts.append(change(texts[-1], raise_limit))
            history.append_change(texts[-2], texts[-1])
        text = texts[2]
        for delta in history.find_chain(digest_text(text)):
            text = deltas.apply_delta(text, delta).ok
        assert text == texts[-1]

    def test_unknown_digest_has_no_chain(self):
        assert deltas.DeltaHistory().find_chain('0' * 64) == ()

    def test_it_is_bounded(self):
        history = deltas.DeltaHistory()
        text = KANDY
        for _ in range(deltas.MAXIMUM_DELTAS + 9):
            new = change(text, raise_limit)
            history.append_change(text, new)
            text = new
        assert history.find_chain(digest_text(KANDY)) == ()
        assert len(history._deltas) == deltas.MAXIMUM_DELTAS
