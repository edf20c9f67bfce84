import re
import subprocess
import sys

from behave import then, when

COMMAND = [sys.executable, '-u', '-m', 'trefoilhinge', 'demo']
TIMEOUT_S = 120


@when('the demo runs once')
def run_once(context):
    context.ended = subprocess.run(
        [*COMMAND, '--once'],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@then('it exits with code {code:d}')
def check_code(context, code):
    assert context.ended.returncode == code, context.ended


@then('its last line counts no call as cut off or run twice')
def check_line(context):
    last = context.ended.stdout.strip().split('\n')[-1]
    found = re.fullmatch(r'(\d+) finished, 0 cut off, 0 ran twice', last)
    assert found, context.ended.stdout
    # 190 of the 206 calls can finish: a repeated booking is refused.
    assert int(found.group(1)) > 150, last


@when('the demo is started')
def start(context):
    context.demo = subprocess.Popen(COMMAND, stdout=subprocess.PIPE, text=True)
    context.printed = ''
    while 'ctrl-C' not in context.printed:
        line = context.demo.stdout.readline()
        assert line, context.printed
        context.printed += line


@then('it prints a URL, a key and three commands')
def check_printed(context):
    assert 'URL      http://127.0.0.1:' in context.printed
    assert 'API key  th-' in context.printed
    assert context.printed.count('\n# ') == 3


@then('it exits with code {code:d} on SIGTERM')
def check_stop(context, code):
    context.demo.terminate()
    context.demo.communicate(timeout=TIMEOUT_S)
    assert context.demo.returncode == code
