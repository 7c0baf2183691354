package org.waxwingcourse.peer;

import com.google.common.io.ByteArrayDataOutput;
import com.google.common.io.ByteStreams;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.waxwingcourse.model.id.HostId;

/** The secret that all hosts of a fleet share for mutual authentication. It is never logged. */
public final class FleetSecret {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int MIN_BYTES = 16;

  private final SecretKeySpec key;

  private FleetSecret(byte[] bytes) {
    this.key = new SecretKeySpec(bytes, ALGORITHM);
  }

  /**
   * Returns the secret with the given text form.
   *
   * @throws IllegalArgumentException if it has fewer than 16 bytes
   */
  public static FleetSecret of(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length < MIN_BYTES) {
      throw new IllegalArgumentException("fleet secret has fewer than " + MIN_BYTES + " bytes");
    }
    return new FleetSecret(bytes);
  }

  /** Returns the HMAC-SHA256 proof that the end with the given role sends. */
  byte[] computeProof(Role role, Transcript transcript) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac.doFinal(transcript.encode(role));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HMAC-SHA256 is missing from the Java runtime", e);
    }
  }

  /** Returns whether a proof is valid. The comparison takes constant time. */
  boolean verifyProof(Role role, Transcript transcript, byte[] proof) {
    return MessageDigest.isEqual(computeProof(role, transcript), proof);
  }

  @Override
  public String toString() {
    return "FleetSecret";
  }

  /** The two ends of a connection. A proof of one role is not valid for the other. */
  enum Role {
    DIALLER,
    ACCEPTOR
  }

  /**
   * The data that both ends authenticate: the protocol version, the names of both hosts and the
   * challenges of this connection.
   */
  record Transcript(
      int version,
      HostId dialler,
      HostId acceptor,
      byte[] diallerChallenge,
      byte[] acceptorChallenge) {
    byte[] encode(Role role) {
      ByteArrayDataOutput out = ByteStreams.newDataOutput();
      out.writeUTF(role.name());
      out.writeInt(version);
      out.writeUTF(dialler.value());
      out.writeUTF(acceptor.value());
      writeLengthPrefixed(out, diallerChallenge);
      writeLengthPrefixed(out, acceptorChallenge);
      return out.toByteArray();
    }

    private static void writeLengthPrefixed(ByteArrayDataOutput out, byte[] bytes) {
      out.writeInt(bytes.length);
      out.write(bytes);
    }

    @Override
    public boolean equals(Object other) {
      return other instanceof Transcript that
          && Arrays.equals(encode(Role.DIALLER), that.encode(Role.DIALLER));
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(encode(Role.DIALLER));
    }
  }
}
