/** HTTP/1.1 exchanges with upstreams over connections whose every state is known. */
package org.waxwingcourse.upstream.exchange;
