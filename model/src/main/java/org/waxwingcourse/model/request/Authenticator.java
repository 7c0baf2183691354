package org.waxwingcourse.model.request;

import io.vavr.control.Either;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.id.KeyHash;

/** Decides whom a key belongs to, now. */
public interface Authenticator {
  /** Returns the organisation that the key belongs to, or why the key does not work. */
  Either<Refusal, Organisation> authenticate(KeyHash key);

  /**
   * Runs {@code onWithdrawn} once if the key stops working while the session is open, whether it
   * was withdrawn or this host lost its evidence that it still works.
   */
  Session open(KeyHash key, Runnable onWithdrawn);

  /** The time in which a key's caller is connected. */
  interface Session extends AutoCloseable {
    @Override
    void close();
  }
}
