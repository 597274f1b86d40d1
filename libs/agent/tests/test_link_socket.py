import asyncio
import socket

from bulrushbend.agent.link import bind_link_socket


async def test_accepted_links_send_small_messages_at_once():
    accepted = asyncio.get_running_loop().create_future()

    async def serve(reader, writer):
        link = writer.get_extra_info("socket")
        accepted.set_result(link.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()

    listening = bind_link_socket("127.0.0.1:0", 2000)
    async with await asyncio.start_server(serve, sock=listening):
        _, writer = await asyncio.open_connection(*listening.getsockname())
        assert await accepted != 0
        writer.close()
