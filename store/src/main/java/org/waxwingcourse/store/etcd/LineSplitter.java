package org.waxwingcourse.store.etcd;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into lines. Each frame of an etcd stream ends with a line feed. */
final class LineSplitter {
  private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

  List<byte[]> split(byte[] bytes) {
    List<byte[]> lines = new ArrayList<>();
    int start = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        partialLine.write(bytes, start, i - start);
        start = i + 1;
        if (partialLine.size() > 0) {
          lines.add(partialLine.toByteArray());
        }
        partialLine.reset();
      }
    }
    partialLine.write(bytes, start, bytes.length - start);
    return lines;
  }

  void clear() {
    partialLine.reset();
  }
}
