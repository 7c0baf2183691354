package org.waxwingcourse.upstream.exchange;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollEventLoopGroup;
import java.io.IOException;

/**
 * The client on the native transport. A host's own server has such event loops where they are
 * available.
 */
class NativeUpstreamHttpClientTest extends UpstreamHttpClientTest {
  NativeUpstreamHttpClientTest() throws IOException {}

  @Override
  EventLoopGroup createGroup() {
    return Epoll.isAvailable() ? new EpollEventLoopGroup(1) : super.createGroup();
  }
}
