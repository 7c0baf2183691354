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

/** Encodes and decodes frames: a four-byte length followed by one protobuf message. */
final class Frames {
  /** The channel number of heartbeats, which no {@link PeerChannel} has. */
  static final int HEARTBEAT_CHANNEL = 0;

  /** In place of a heartbeat's sequence number, for no heartbeat. */
  static final long NO_SEQUENCE = 0;

  /** Most bytes of a frame beyond the payload of its message. */
  static final int MAX_OVERHEAD_BYTES = 48;

  private static final int LENGTH_BYTES = 4;

  private Frames() {}

  /** Returns a decoder that rejects frames over {@code maxBytes} before it reads their content. */
  static LengthFieldBasedFrameDecoder decoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(
        maxBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES, true);
  }

  /** Returns a frame that contains the message. */
  static ByteBuf encode(MessageLite message) {
    byte[] bytes = message.toByteArray();
    ByteBuf length = Unpooled.buffer(LENGTH_BYTES).writeInt(bytes.length);
    return Unpooled.wrappedBuffer(length, Unpooled.wrappedBuffer(bytes));
  }

  /** Returns a frame that contains a message of the given channel. */
  static ByteBuf encode(int channel, byte[] payload) {
    return encode(channel, payload, NO_SEQUENCE, NO_SEQUENCE);
  }

  /**
   * Returns a frame that contains a message of the given channel, a heartbeat and the answer to
   * one; {@link #NO_SEQUENCE} for none of them.
   */
  static ByteBuf encode(int channel, byte[] payload, long heartbeat, long answered) {
    return encode(
        Envelope.newBuilder()
            .setChannel(channel)
            .setPayload(UnsafeByteOperations.unsafeWrap(payload))
            .setHeartbeat(heartbeat)
            .setAnswered(answered)
            .build());
  }

  /** Returns a frame that contains a heartbeat, or the answer to one. */
  static ByteBuf heartbeat(long sequence, boolean answer) {
    Heartbeat heartbeat = Heartbeat.newBuilder().setSequence(sequence).setAnswer(answer).build();
    return encode(HEARTBEAT_CHANNEL, heartbeat.toByteArray());
  }

  /** Parses the message of a frame from which the length prefix was stripped. */
  static <T> T decode(ByteBuf frame, Parser<T> parser) throws InvalidProtocolBufferException {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    return parser.parseFrom(bytes);
  }
}
