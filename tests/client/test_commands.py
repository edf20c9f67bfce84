import json
import pathlib

import pytest

from tests.gateway.documents import make_document, make_route
from trefoilhinge.client import commands
from trefoilhinge.client.arguments import parse_switch, quote_arguments
from trefoilhinge.client.commands import main, run_command_line
from trefoilhinge.exceptions import ImproperlyConfigured
from trefoilhinge.platform.standins.formats import encode_settings

ROOT = pathlib.Path(__file__).parents[2]
KANDY = str(ROOT / 'examples' / 'kandy.json')

PUBLIC = {**make_route('look', 'idempotent', 'desk', 100), 'public': True}


def run(*arguments):
    try:
        return run_command_line(list(arguments))
    except SystemExit as error:
        return error.code


@pytest.fixture
def started_settings(monkeypatch):
    settings = []
    monkeypatch.setattr(commands, 'run_entry', settings.append)
    return settings


class TestCheck:
    def test_valid_document(self, capsys):
        assert run('check', KANDY) == 0
        assert 'revision 1 is valid' in capsys.readouterr().out

    def test_each_problem_is_printed_on_a_line(self, capsys, tmp_path):
        fields = json.loads(pathlib.Path(KANDY).read_text())
        fields['services'][0]['kind'] = 'modle'
        del fields['balance']
        file = tmp_path / '12'
        file.write_text(json.dumps(fields))
        assert run('check', str(file)) == 2
        lines = capsys.readouterr().err.splitlines()
        assert len(lines) == 2
        assert all(line.startswith(f'{file}: $.') for line in lines)

    def test_json_lists_problems(self, capsys, tmp_path):
        file = tmp_path / 'document.json'
        file.write_bytes(b'\xef\xbb\xbf{}')
        assert run('check', str(file), '--format=json') == 2
        answer = json.loads(capsys.readouterr().out)
        assert not answer['valid']
        assert 'byte order mark' in answer['problems'][0]['wrong']

    def test_missing_file_is_reported(self, capsys):
        assert run('check', '/nowhere/at/all') == 2
        assert 'No such file' in capsys.readouterr().err

    def test_endless_file_is_refused(self, capsys):
        assert run('check', '/dev/zero') == 2
        assert 'more than 1000000 bytes' in capsys.readouterr().err

    def test_file_with_a_numeric_name(self, capsys, tmp_path, monkeypatch):
        monkeypatch.chdir(tmp_path)
        pathlib.Path('0123').write_text(pathlib.Path(KANDY).read_text())
        assert run('check', '0123') == 0


class TestFindings:
    @pytest.fixture
    def write(self, tmp_path):
        def write_document(name, **fields):
            file = tmp_path / name
            file.write_text(json.dumps(make_document(**fields)))
            return str(file)

        return write_document

    def test_warnings_alone_exit_with_0(self, write, capsys):
        file = write('new', tenants=[{'name': 'mill'}], routes=[PUBLIC])
        assert run('check', file) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[0] == f'{file}: revision 1 is valid'
        assert f'{file}: trefoilhinge.W214 warning: $.tenants[0]' in lines[-1]

    def test_errors_exit_with_1(self, write, capsys):
        file = write('new', routes=[])
        assert run('check', file, '--format=json') == 1
        report = json.loads(capsys.readouterr().out)
        assert not report['valid']
        assert report['findings'][0]['severity'] == 'error'
        assert report['findings'][0]['path'] == '$.routes'

    def test_findings_precede_the_differences(self, write, capsys):
        old, new = write('old', version=2), write('new', tenants=[])
        assert run('check', new, '--against', old) == 1
        lines = capsys.readouterr().out.splitlines()
        assert 'trefoilhinge.E301 error: $.version' in lines[1]
        assert lines[-2:] == [
            'version is now 1, was 2',
            'organisation mill is removed',
        ]
        assert run('check', old, '--against', old) == 0
        assert 'The documents say the same.' in capsys.readouterr().out

    def test_unreadable_document_in_force_is_named(self, write, capsys):
        new = write('new')
        assert run('check', new, '--against', '/nowhere/at/all') == 2
        assert '/nowhere/at/all: $: the file' in capsys.readouterr().err
        assert run('check', new, '--against') == 2

    def test_settings_are_checked_with_the_document(
        self, write, capsys, tmp_path
    ):
        text = encode_settings('a', '127.0.0.1', '127.0.0.2:80', [], 4000)
        bounds = json.loads(text)['bounds']
        bounds.update(retryRatio=0, retrySlack=0)
        file = tmp_path / 'node.json'
        file.write_text(json.dumps({**json.loads(text), 'bounds': bounds}))
        assert run('check', write('new'), f'--settings={file}') == 0
        assert 'W231 warning: $.routes[0]' in capsys.readouterr().out
        assert run('check', KANDY, f'--settings={file}') == 2
        assert 'omit the settings' in capsys.readouterr().err

    def test_documents_of_two_forms_are_refused(self, write, capsys):
        assert run('check', write('new'), '--against', KANDY) == 2
        assert run('diff', KANDY, write('new')) == 2
        assert 'of one form' in capsys.readouterr().err

    def test_text_that_is_not_json_is_reported_with_its_line(
        self, tmp_path, capsys
    ):
        file = tmp_path / 'new'
        file.write_text('{"version": 1,\n "routes": [}')
        assert run('check', str(file)) == 2
        assert 'line 2 column 13' in capsys.readouterr().err


class TestCommandLine:
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
    def test_invalid_command_line_is_refused_before_anything_runs(
        self, line, capsys
    ):
        assert run(*line) == 2
        assert 'valid' not in capsys.readouterr().out

    def test_unknown_format_is_refused(self):
        with pytest.raises(ImproperlyConfigured, match='text or json'):
            run('check', KANDY, '--format=yaml')

    def test_values_are_passed_unchanged(self, started_settings):
        flags = {
            'instance': '0123',
            'failure_domain': '1e5',
            'peer_secret': '[12345678901234567890]',
            'configuration_url': 'http://10.0.0.2/a?b=c',
        }
        line = [f'--{name}={value}' for name, value in flags.items()]
        assert run('entry', *line, '--listen', '10.0.0.1:5') == 0
        assert started_settings[0].listen == '10.0.0.1:5'
        for name, value in flags.items():
            assert getattr(started_settings[0], name) == value

    def test_entry_does_not_start_if_a_check_fails(
        self, started_settings, capsys
    ):
        with pytest.raises(ImproperlyConfigured, match='E004'):
            run('entry', '--instance=a', '--failure_domain=b')
        assert started_settings == []

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

    def test_error_exits_with_its_message(self, monkeypatch, capsys):
        monkeypatch.setattr('sys.argv', ['trefoilhinge', 'entry', '--x=1'])
        with pytest.raises(SystemExit) as exit_info:
            main()
        assert exit_info.value.code == 2
        assert '--x is not a setting' in capsys.readouterr().err

    def test_quoting_keeps_flags_and_separators(self):
        assert quote_arguments(['a', '--b=1', '--c', '1', '--']) == [
            'a',
            "--b='1'",
            '--c',
            "'1'",
            '--',
        ]

    def test_boolean_flags(self):
        assert parse_switch('True', 'once')
        assert not parse_switch('false', 'once')
        with pytest.raises(ImproperlyConfigured):
            parse_switch('maybe', 'once')


class TestFaults:
    @pytest.fixture
    def fault_requests(self, monkeypatch):
        requests = []
        monkeypatch.setattr(commands, 'run_faults', requests.append)
        return requests

    def test_flags_are_passed_to_the_run(self, fault_requests):
        assert run('faults', '--seed=7', '--pairs', '--format=json') == 0
        assert fault_requests[0].seed == 7
        assert fault_requests[0].pairs == commands.DEFAULT_PAIRS
        assert fault_requests[0].as_json
        run('faults', '--pairs=3', '--cell=a/b')
        assert (fault_requests[1].pairs, fault_requests[1].cell) == (3, 'a/b')

    @pytest.mark.parametrize('flag', ['--seed=x', '--walk=-1', '--pairs=1.5'])
    def test_invalid_number_is_refused(self, fault_requests, flag):
        with pytest.raises(ImproperlyConfigured, match='write a whole number'):
            run('faults', flag)
        assert fault_requests == []


class TestMeasure:
    def test_help_lists_the_flags(self, capsys):
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

    def test_failed_settings_check(self, capsys):
        line = ['--instance=a', '--failure_domain=b', '--tls_key=/nowhere']
        assert run('check-settings', *line) == 2
        assert 'E002' in capsys.readouterr().err
