package org.waxwingcourse.model.request;

import io.vavr.control.Either;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.id.KeyHash;

/** Determines the organisation to which a key belongs at present. */
public interface Authenticator {
  /** Returns the organisation to which the key belongs, or the reason why the key is not valid. */
  Either<Refusal, Organisation> authenticate(KeyHash key);

  /**
   * Opens a session and runs {@code onWithdrawn} once if the key ceases to be valid while the
   * session is open, because the key was withdrawn or because this host no longer has evidence that
   * the key is valid.
   */
  Session open(KeyHash key, Runnable onWithdrawn);

  /** The period during which the caller with the key is connected. */
  interface Session extends AutoCloseable {
    @Override
    void close();
  }
}
