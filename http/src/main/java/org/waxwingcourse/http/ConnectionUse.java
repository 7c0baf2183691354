package org.waxwingcourse.http;

/**
 * The use of a connection by one request.
 *
 * @param connection number of the connection, unique within one process
 * @param request which of the requests on this connection it is, from 1; 1 on a new connection
 */
public record ConnectionUse(long connection, int request) {
  @Override
  public String toString() {
    return connection + "." + request;
  }
}
