package org.waxwingcourse.http.server;

import ratpack.http.Headers;

/** Computes the size of request headers. */
public final class HeaderSize {
  private HeaderSize() {}

  /** Returns the total size of all names and values in bytes. */
  public static int of(Headers headers) {
    int bytes = 0;
    for (String name : headers.getNames()) {
      for (String value : headers.getAll(name)) {
        bytes += name.length() + value.length();
      }
    }
    return bytes;
  }
}
