/** An HTTP/1.1 client for upstreams that tracks the state of every connection. */
package org.waxwingcourse.upstream.exchange;
