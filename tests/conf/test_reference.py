from trefoilhinge.conf.reference import PAGES, find_stale_pages, main
from trefoilhinge.core.advice import REFUSAL_ADVICE
from trefoilhinge.core.verdicts import RefusalCode


class TestReference:
    def test_committed_pages_are_up_to_date(self):
        assert find_stale_pages() == []
        assert main(['--check']) == 0

    def test_stale_page_is_found(self, tmp_path):
        for name, render in PAGES.items():
            (tmp_path / name).write_text(render())
        (tmp_path / 'errors.md').write_text('old')
        (tmp_path / 'checks.md').unlink()
        assert find_stale_pages(tmp_path) == ['errors.md', 'checks.md']

    def test_every_code_has_advice(self):
        assert set(REFUSAL_ADVICE) == set(RefusalCode)
