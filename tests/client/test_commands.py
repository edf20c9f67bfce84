import json
import pathlib

import pytest

from trefoilhinge.client import commands
from trefoilhinge.client.arguments import parse_switch, quote_arguments
from trefoilhinge.client.commands import main, run_command_line
from trefoilhinge.exceptions import ImproperlyConfigured

ROOT = pathlib.Path(__file__).parents[2]
KANDY = str(ROOT / 'examples' / 'kandy.json')


def run(*arguments):
    try:
        return run_command_line(list(arguments))
    except SystemExit as left:
        return left.code


@pytest.fixture
def entered(monkeypatch):
    seen = []
    monkeypatch.setattr(commands, 'run_entry', seen.append)
    return seen


class TestCheck:
    def test_valid_document(self, capsys):
        assert run('check', KANDY) == 0
        assert 'revision 1 is valid' in capsys.readouterr().out

    def test_each_problem_is_a_line(self, capsys, tmp_path):
        fields = json.loads(pathlib.Path(KANDY).read_text())
        fields['services'][0]['kind'] = 'modle'
        del fields['balance']
        file = tmp_path / '12'
        file.write_text(json.dumps(fields))
        assert run('check', str(file)) == 2
        lines = capsys.readouterr().err.splitlines()
        assert len(lines) == 2
        assert all(line.startswith(f'{file}: $.') for line in lines)

    def test_json_names_paths(self, capsys, tmp_path):
        file = tmp_path / 'document.json'
        file.write_bytes(b'\xef\xbb\xbf{}')
        assert run('check', str(file), '--format=json') == 2
        answer = json.loads(capsys.readouterr().out)
        assert not answer['valid']
        assert 'byte order mark' in answer['problems'][0]['wrong']

    def test_missing_file_is_told(self, capsys):
        assert run('check', '/nowhere/at/all') == 2
        assert 'No such file' in capsys.readouterr().err

    def test_file_without_end_is_refused(self, capsys):
        assert run('check', '/dev/zero') == 2
        assert 'more than 1000000 bytes' in capsys.readouterr().err

    def test_file_whose_name_is_a_number(self, capsys, tmp_path, monkeypatch):
        monkeypatch.chdir(tmp_path)
        pathlib.Path('0123').write_text(pathlib.Path(KANDY).read_text())
        assert run('check', '0123') == 0


class TestLine:
    @pytest.mark.parametrize(
        'line',
        [
            ['check', KANDY, '--colour=green'],
            ['check', KANDY, 'text', 'more'],
            ['check'],
            ['chekc', KANDY],
            ['status', '127.0.0.1:1', '--formt=json'],
        ],
    )
    def test_what_is_not_known_is_refused_before_anything_runs(
        self, line, capsys
    ):
        assert run(*line) == 2
        assert 'valid' not in capsys.readouterr().out

    def test_unknown_format_is_refused(self):
        with pytest.raises(ImproperlyConfigured, match='text or json'):
            run('check', KANDY, '--format=yaml')

    def test_values_stay_as_they_were_typed(self, entered):
        flags = {
            'instance': '0123',
            'failure_domain': '1e5',
            'peer_secret': '[12345678901234567890]',
            'configuration_url': 'http://10.0.0.2/a?b=c',
        }
        line = [f'--{name}={value}' for name, value in flags.items()]
        assert run('entry', *line, '--listen', '10.0.0.1:5') == 0
        assert entered[0].listen == '10.0.0.1:5'
        for name, value in flags.items():
            assert getattr(entered[0], name) == value

    def test_entry_does_not_start_on_a_failed_check(self, entered, capsys):
        with pytest.raises(ImproperlyConfigured, match='E004'):
            run('entry', '--instance=a', '--failure_domain=b')
        assert entered == []

    @pytest.mark.parametrize(
        'command',
        [
            'check',
            'diff',
            'status',
            'console',
            'demo',
            'make-key',
            'entry',
            'faults',
        ],
    )
    def test_help_of_each_command(self, command, capsys):
        assert run(command, '--help') == 0
        captured = capsys.readouterr()
        assert len(captured.out + captured.err) > 100

    def test_error_ends_the_process_with_its_message(self, monkeypatch, capsys):
        monkeypatch.setattr('sys.argv', ['trefoilhinge', 'entry', '--x=1'])
        with pytest.raises(SystemExit) as left:
            main()
        assert left.value.code == 2
        assert '--x is not a setting' in capsys.readouterr().err

    def test_quoting_leaves_flags_and_separators(self):
        assert quote_arguments(['a', '--b=1', '--c', '1', '--']) == [
            'a',
            "--b='1'",
            '--c',
            "'1'",
            '--',
        ]

    def test_switches(self):
        assert parse_switch('True', 'once')
        assert not parse_switch('false', 'once')
        with pytest.raises(ImproperlyConfigured):
            parse_switch('maybe', 'once')


class TestFaults:
    @pytest.fixture
    def ran(self, monkeypatch):
        seen = []
        monkeypatch.setattr(commands, 'run_faults', seen.append)
        return seen

    def test_flags_reach_the_matrix(self, ran):
        assert run('faults', '--seed=7', '--pairs', '--format=json') == 0
        assert ran[0].seed == 7
        assert ran[0].pairs == commands.DEFAULT_PAIRS
        assert ran[0].as_json
        run('faults', '--pairs=3', '--cell=a/b')
        assert (ran[1].pairs, ran[1].cell) == (3, 'a/b')

    @pytest.mark.parametrize('flag', ['--seed=x', '--walk=-1', '--pairs=1.5'])
    def test_what_is_no_number_is_refused(self, ran, flag):
        with pytest.raises(ImproperlyConfigured, match='write a number'):
            run('faults', flag)
        assert ran == []


class TestMeasure:
    def test_help_lists_its_flags(self, capsys):
        assert run('measure', '--help') == 0
        shown = capsys.readouterr().out
        for flag in ('--deployment', '--load', '--report', '--slopes'):
            assert flag in shown


class TestOtherCommands:
    def test_diff(self, capsys, tmp_path):
        fields = json.loads(pathlib.Path(KANDY).read_text())
        fields['organisations'][0]['requests_per_s'] = 5
        file = tmp_path / 'new.json'
        file.write_text(json.dumps(fields))
        assert run('diff', KANDY, str(file)) == 0
        assert capsys.readouterr().out == (
            'hotel-desk may now send 5 requests per second, was 400\n'
        )
        assert run('diff', KANDY, KANDY) == 0
        assert 'say the same' in capsys.readouterr().out
        assert run('diff', KANDY, '/nowhere') == 2

    def test_settings_are_listed_and_secrets_masked(self, capsys, monkeypatch):
        monkeypatch.setenv('TREFOILHINGE_PEER_SECRET', 'hush-hush-hush-hush')
        line = ['--instance=a', '--failure_domain=b', '--seeds=10.0.0.1:1']
        assert run('check-settings', *line) == 0
        captured = capsys.readouterr()
        assert "seeds=('10.0.0.1:1',)  (flag)" in captured.out
        assert "peer_secret='********'  (environment)" in captured.out
        assert 'hush' not in captured.out + captured.err
        assert 'W001' in captured.err

    def test_settings_that_fail_a_check(self, capsys):
        line = ['--instance=a', '--failure_domain=b', '--tls_key=/nowhere']
        assert run('check-settings', *line) == 2
        assert 'E002' in capsys.readouterr().err
