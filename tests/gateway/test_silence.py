"""Tests of how long a silent target is waited for."""

import asyncio

import pytest
from attrs import define

from tests.gateway.documents import HOST, find_port
from trefoilhinge.gateway import silence
from trefoilhinge.gateway.exchanges import AnswerBroken


@define
class Watched:
    """An exchange with a target that says nothing."""

    address: str
    backlog_s: float
    patience_s: float = 0.05
    heard_s: float = 0

    def find_backlog_s(self):
        return self.backlog_s


class TestSilence:
    def test_mute_target_with_new_prompts_is_left_at_last(self, monkeypatch):
        """Prompts that others place on it would keep its backlog up for ever."""
        monkeypatch.setattr(silence, 'LONGEST_READING_S', 0.3)

        async def run():
            port = find_port()
            server = await asyncio.start_server(
                lambda reader, writer: None, HOST, port
            )
            loop = asyncio.get_running_loop()
            watched = Watched(f'{HOST}:{port}', 0.1, heard_s=loop.time())
            try:
                await asyncio.wait_for(
                    silence.await_answer(asyncio.sleep(30), watched), 5
                )
            finally:
                server.close()

        with pytest.raises(AnswerBroken, match='mute'):
            asyncio.run(run())
