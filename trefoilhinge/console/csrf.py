"""Refuses requests that another site made a browser send.

The console has no sessions and no cookies. A form carries a token signed
with a secret of the process, which another site cannot read; the headers that
a browser sets say where a request comes from; and the ``Host`` must name this
listener, so that no other name can be pointed at it.
"""

import hashlib
import hmac
import ipaddress
from collections.abc import Mapping
from urllib.parse import SplitResult, urlsplit

from attrs import frozen

from trefoilhinge.console.exceptions import FormRefused

TOKEN_LIFETIME_S = 12 * 3600
_ALLOWED_FETCH_SITES = frozenset(('same-origin', 'none'))
_FORBIDDEN = '403 Forbidden'


@frozen
class FormTokenSigner:
    """Signs forms and checks where requests come from.

    :ivar secret: random bytes of this process.
    """

    secret: bytes

    def make_token(self, now_s: float) -> str:
        """Return a token for a form.

        :param now_s: wall seconds.
        """
        timestamp = str(int(now_s))
        return f'{timestamp}.{self._compute_signature(timestamp)}'

    def check_token(self, token: str, now_s: float) -> None:
        """Refuse a form that this process did not make or made long ago.

        :raises FormRefused: the token is not good.
        """
        timestamp, _, signature = token.partition('.')
        signed = hmac.compare_digest(
            signature.encode(),
            self._compute_signature(timestamp).encode(),
        )
        if not signed or now_s - int(timestamp) > TOKEN_LIFETIME_S:
            raise FormRefused(
                _FORBIDDEN,
                'This form is too old or was not made by this console. Go '
                'back, copy what you need, and open the console again.',
            )

    def _compute_signature(self, timestamp: str) -> str:
        code = hmac.new(self.secret, timestamp.encode(), hashlib.sha256)
        return code.hexdigest()


def check_host(headers: Mapping[str, str]) -> None:
    """Refuse a request for a name, which anyone could point here.

    :raises FormRefused: the host is neither an IP number nor localhost.
    """
    host = headers.get('HTTP_HOST', '')
    name = _split_netloc(f'//{host}').hostname or ''
    if name == 'localhost':
        return
    try:
        ipaddress.ip_address(name)
    except ValueError:
        raise FormRefused(
            '421 Misdirected Request',
            'Open the console by its IP number or as localhost.',
        ) from None


def check_origin(headers: Mapping[str, str]) -> None:
    """Refuse a post that another site made a browser send.

    :raises FormRefused: the request does not come from this console.
    """
    host = headers.get('HTTP_HOST', '')
    origin = headers.get('HTTP_ORIGIN')
    fetch_site = headers.get('HTTP_SEC_FETCH_SITE', 'none')
    # An origin that a browser withholds is the word "null".
    is_cross_origin = (
        origin is not None and _split_netloc(origin).netloc != host
    )
    if is_cross_origin or fetch_site not in _ALLOWED_FETCH_SITES:
        raise FormRefused(
            _FORBIDDEN,
            'This form was sent from another site and was refused.',
        )


def _split_netloc(url: str) -> SplitResult:
    try:
        return urlsplit(url)
    except ValueError:
        return urlsplit('')
