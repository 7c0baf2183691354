package org.waxwingcourse.node.batch;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.multipart.Attribute;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.codec.http.multipart.FileUpload;
import io.netty.handler.codec.http.multipart.HttpPostMultipartRequestDecoder;
import io.netty.handler.codec.http.multipart.HttpPostRequestDecoder;
import io.netty.handler.codec.http.multipart.InterfaceHttpData;
import io.netty.handler.codec.http.multipart.MemoryFileUpload;
import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads a multipart form as it arrives and passes the bytes of its file on, so that a large file is
 * never held in memory. Used by one thread at a time.
 */
final class MultipartFileReader {
  private final HttpPostMultipartRequestDecoder decoder;
  private final Map<String, String> fields = new HashMap<>();
  private final Consumer<byte[]> sink;
  private String filename = "";

  /**
   * Creates a reader.
   *
   * @param contentType the request's content type, which contains the boundary
   * @param sink receives the bytes of the file in order
   */
  MultipartFileReader(String contentType, Consumer<byte[]> sink) {
    this.sink = sink;
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    decoder =
        new HttpPostMultipartRequestDecoder(
            new ForwardingPartFactory(), head, StandardCharsets.UTF_8);
  }

  /** Reads the next bytes of the body; the caller releases the buffer. */
  void feed(ByteBuf bytes) throws IOException {
    decoder.offer(new DefaultHttpContent(bytes));
    readFields();
  }

  /** Reads the end of the body. */
  void finish() throws IOException {
    decoder.offer(LastHttpContent.EMPTY_LAST_CONTENT);
    readFields();
  }

  void close() {
    decoder.destroy();
  }

  /** Returns the value of a form field, empty if the field is absent. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the file's name, empty if the form has no file. */
  String filename() {
    return filename;
  }

  private void readFields() throws IOException {
    while (hasNext()) {
      InterfaceHttpData data = decoder.next();
      if (data instanceof Attribute attribute) {
        fields.put(attribute.getName(), attribute.getValue());
      }
      data.release();
    }
  }

  private boolean hasNext() {
    try {
      return decoder.hasNext();
    } catch (HttpPostRequestDecoder.EndOfDataDecoderException e) {
      return false;
    }
  }

  /** Creates file parts that pass their bytes on. */
  private final class ForwardingPartFactory extends DefaultHttpDataFactory {
    ForwardingPartFactory() {
      super(false);
    }

    @Override
    public FileUpload createFileUpload(
        HttpRequest request,
        String name,
        String file,
        String contentType,
        String contentTransferEncoding,
        Charset charset,
        long size) {
      filename = file;
      return new ForwardingFileUpload(name, file, contentType, contentTransferEncoding, charset);
    }
  }

  /** A file part that passes its bytes on without storing them. */
  private final class ForwardingFileUpload extends MemoryFileUpload {
    ForwardingFileUpload(
        String name, String file, String contentType, String transferEncoding, Charset charset) {
      super(name, file, contentType, transferEncoding, charset, 0);
    }

    @Override
    public void addContent(ByteBuf buffer, boolean last) throws IOException {
      byte[] bytes = ByteBufUtil.getBytes(buffer);
      buffer.release();
      sink.accept(bytes);
      if (last) {
        super.addContent(io.netty.buffer.Unpooled.EMPTY_BUFFER, true);
      }
    }
  }
}
