"""Server of the console and the command that runs it."""

import secrets

from cheroot import wsgi

from trefoilhinge.client.status_client import StatusSource
from trefoilhinge.conf.addresses import find_address_error, is_loopback
from trefoilhinge.conf.document_files import read_text_file
from trefoilhinge.console.application import ConsoleApplication
from trefoilhinge.console.csrf import FormTokenSigner
from trefoilhinge.console.forms import MAXIMUM_FORM_BYTES
from trefoilhinge.exceptions import ImproperlyConfigured

CONSOLE_THREADS = 8
TOKEN_SECRET_BYTES = 32
READ_TIMEOUT_S = 20
MAXIMUM_HEADER_BYTES = 65536


def run_console(listen: str, document: str, status: StatusSource) -> int:
    """Serve the console until it is interrupted.

    :param listen: IP address and port to listen on.
    :param document: path of the document to edit, empty if none.
    :param status: instances whose status is shown.
    :return: exit code.
    :raises ImproperlyConfigured: the address is invalid or the file cannot be
        read.
    """
    problem = find_address_error(listen)
    if problem:
        raise ImproperlyConfigured(f'--listen: {problem}')
    text = ''
    if document:
        read = read_text_file(document)
        if read.is_error():
            raise ImproperlyConfigured(f'--document: {read.error[0]}')
        text = read.ok
    server = make_server(listen, text, status)
    server.prepare()
    print(f'The console is running at http://{listen}/', flush=True)
    if not is_loopback(listen):
        print('Anyone who can reach this address can use the console.')
    try:
        server.serve()
    except KeyboardInterrupt:
        server.stop()
    return 0


def make_server(
    listen: str,
    document: str,
    status: StatusSource,
) -> wsgi.Server:
    """Create the server of the console without starting it.

    :param listen: IP address and port to listen on.
    :param document: text of the document to offer, empty if none.
    :param status: instances whose status is shown.
    """
    token_signer = FormTokenSigner(secrets.token_bytes(TOKEN_SECRET_BYTES))
    host, _, port = listen.rpartition(':')
    server = wsgi.Server(
        (host.strip('[]'), int(port)),
        ConsoleApplication(token_signer, document, status),
        numthreads=CONSOLE_THREADS,
        max=CONSOLE_THREADS,
        timeout=READ_TIMEOUT_S,
        server_name='trefoilhinge-console',
    )
    server.max_request_body_size = MAXIMUM_FORM_BYTES
    server.max_request_header_size = MAXIMUM_HEADER_BYTES
    return server
