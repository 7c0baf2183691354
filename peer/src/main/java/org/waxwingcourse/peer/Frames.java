package org.waxwingcourse.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.waxwingcourse.wire.Envelope;
import org.waxwingcourse.wire.Heartbeat;

/** Frames on the wire: a four-byte length and one protobuf message. */
final class Frames {
  /** Number of the channel that carries heartbeats. */
  static final int HEARTBEAT_CHANNEL = 0;

  private static final int LENGTH_BYTES = 4;

  private Frames() {}

  /** Returns a decoder that refuses frames beyond {@code maxBytes} before it reads them. */
  static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(
        maxBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES, true);
  }

  /** Returns a frame with one message. */
  static ByteBuf encode(MessageLite message) {
    byte[] bytes = message.toByteArray();
    ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(bytes.length);
    return Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(bytes));
  }

  /** Returns a frame with one message of a subsystem. */
  static ByteBuf encode(int channel, byte[] payload) {
    return encode(
        Envelope.newBuilder()
            .setChannel(channel)
            .setPayload(UnsafeByteOperations.unsafeWrap(payload))
            .build());
  }

  /** Returns a heartbeat or its answer. */
  static ByteBuf heartbeat(long sequence, boolean answer) {
    Heartbeat beat = Heartbeat.newBuilder().setSequence(sequence).setAnswer(answer).build();
    return encode(HEARTBEAT_CHANNEL, beat.toByteArray());
  }

  /** Reads the message of a frame whose length has been taken off. */
  static <T> T decode(ByteBuf frame, Parser<T> parser) throws InvalidProtocolBufferException {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    return parser.parseFrom(bytes);
  }
}
