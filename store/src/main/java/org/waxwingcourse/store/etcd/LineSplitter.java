package org.waxwingcourse.store.etcd;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream of bytes into lines; the frames of etcd's streams end with a line feed each. */
final class LineSplitter {
  private final ByteArrayOutputStream rest = new ByteArrayOutputStream();

  List<byte[]> split(byte[] bytes) {
    List<byte[]> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        rest.write(bytes, start, i - start);
        start = i + 1;
        if (rest.size() > 0) {
          lines.add(rest.toByteArray());
        }
        rest.reset();
      }
    }
    rest.write(bytes, start, bytes.length - start);
    return lines;
  }

  void clear() {
    rest.reset();
  }
}
