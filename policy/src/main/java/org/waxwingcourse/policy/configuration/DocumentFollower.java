package org.waxwingcourse.policy.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.waxwingcourse.model.id.Revision;

/**
 * Holds the newest version of a document that has reached this host, from the store or from any
 * other host, whichever came first. The revision is compared at the point of applying, under the
 * lock, so a late answer can never put an older version back in force.
 *
 * @param <T> the document as a decoded value
 */
public final class DocumentFollower<T> {
  private final Function<Document, Either<String, T>> decoder;
  private final List<Consumer<T>> listeners = new ArrayList<>();
  private Document document = Document.EMPTY;
  private Optional<T> value = Optional.empty();
  private Optional<String> fault = Optional.empty();

  /**
   * Creates a follower of an empty document.
   *
   * @param decoder reads a document, or says what is wrong with it
   */
  public DocumentFollower(Function<Document, Either<String, T>> decoder) {
    this.decoder = decoder;
  }

  /** Applies the delta if it is newer than what is in force and joins on to it. */
  public synchronized Offer offer(Delta delta) {
    if (!delta.target().isAfter(document.revision())) {
      return Offer.OLD;
    }
    if (delta.base().isAfter(document.revision())) {
      return Offer.GAP;
    }
    Document next = document.with(delta);
    Either<String, T> decoded = decoder.apply(next);
    if (decoded.isLeft()) {
      fault = Optional.of(decoded.getLeft());
      return Offer.UNREADABLE;
    }
    document = next;
    value = Optional.of(decoded.get());
    fault = Optional.empty();
    listeners.forEach(l -> l.accept(decoded.get()));
    return Offer.APPLIED;
  }

  /** Returns the document in force. */
  public synchronized Document document() {
    return document;
  }

  /** Returns the revision in force. */
  public synchronized Revision revision() {
    return document.revision();
  }

  /** Returns the decoded document in force, empty before the first. */
  public synchronized Optional<T> value() {
    return value;
  }

  /** Returns why the newest version offered could not be decoded, empty if it could. */
  public synchronized Optional<String> fault() {
    return fault;
  }

  /** Calls the listener after each change, in order of revisions, under the follower's lock. */
  public synchronized void onChange(Consumer<T> listener) {
    listeners.add(listener);
  }
}
