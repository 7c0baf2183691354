package org.waxwingcourse.fleet.view;

import io.vavr.control.Option;
import java.time.Duration;

/**
 * The newest moment at which a configuration was proved to be the newest one: by a read of the
 * store that was sent no earlier, made by this host or by one that vouches for it. A watch that is
 * silent proves nothing, since its connection may be dead.
 */
public final class Evidence {
  private final Clocks clocks;
  private Option<Stamp> own = Option.none();
  private Option<Stamp> any = Option.none();

  /** Creates evidence that holds nothing yet. */
  public Evidence(Clocks clocks) {
    this.clocks = clocks;
  }

  /** This host has read the store; {@code asked} is when the call was sent. */
  public synchronized void confirmOwn(Stamp asked) {
    own = later(own, asked);
    any = later(any, asked);
  }

  /** Another host has vouched for the moment {@code proved}. */
  public synchronized void confirmVouched(Stamp proved) {
    any = later(any, proved);
  }

  /** Returns the age of the newest proof, none without any. */
  public synchronized Option<Duration> age() {
    return any.map(s -> clocks.now().since(s));
  }

  /** Tells whether there is proof no older than {@code limit}. */
  public boolean isWithin(Duration limit) {
    return age().exists(a -> a.compareTo(limit) <= 0);
  }

  /** Tells whether this host itself has read the store within {@code limit}. */
  public synchronized boolean ownIsWithin(Duration limit) {
    return own.exists(s -> clocks.now().since(s).compareTo(limit) <= 0);
  }

  private static Option<Stamp> later(Option<Stamp> held, Stamp candidate) {
    return held.filter(h -> !h.steady().isBefore(candidate.steady()))
        .orElse(Option.some(candidate));
  }
}
