import pytest

pytest.register_assert_rewrite('tests.crowds.processes')
