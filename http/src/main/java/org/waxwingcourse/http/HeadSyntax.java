package org.waxwingcourse.http;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;

/**
 * The syntax of the parts of a request's head (RFC 9110). Text outside it may be understood by
 * another server as the end of a line, as another header or as another request; characters beyond
 * Latin-1 cannot be written to a head.
 */
public final class HeadSyntax {
  private static final char DELETE = 0x7f;
  private static final char LAST_LATIN_1 = 0xff;

  private HeadSyntax() {}

  /** Returns whether a header can be written without changing the meaning of the head. */
  public static boolean isHeader(CharSequence name, CharSequence value) {
    return isToken(name) && isHeaderValue(value);
  }

  /** Returns whether the text can be the value of a header. */
  public static boolean isHeaderValue(CharSequence value) {
    return HttpHeaderValidationUtil.validateValidHeaderValue(value) < 0
        && value.chars().allMatch(c -> c <= LAST_LATIN_1);
  }

  /** Returns whether the text consists of visible ASCII characters, at least one. */
  public static boolean isVisibleAscii(CharSequence text) {
    return text.length() > 0 && text.chars().allMatch(c -> c > ' ' && c < DELETE);
  }

  /** Returns whether the text can be a method or the name of a header. */
  public static boolean isToken(CharSequence text) {
    return text.length() > 0 && HttpHeaderValidationUtil.validateToken(text) < 0;
  }

  /** Returns whether the text can be the path and query of a request. */
  public static boolean isTarget(CharSequence text) {
    return isVisibleAscii(text);
  }
}
