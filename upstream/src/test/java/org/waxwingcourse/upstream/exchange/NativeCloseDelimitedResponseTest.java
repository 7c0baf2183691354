package org.waxwingcourse.upstream.exchange;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;

/**
 * A whole response with neither a length nor chunks, on the native transport. A host's own server
 * has such event loops where they are available.
 */
class NativeCloseDelimitedResponseTest extends CloseDelimitedResponseTest {
  @Override
  EventLoopGroup createGroup() {
    return Epoll.isAvailable() ? new EpollEventLoopGroup(1) : super.createGroup();
  }
}
