package org.waxwingcourse.policy.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.waxwingcourse.model.id.Revision;

/**
 * Holds the newest version of a document that this host has received from the store or from another
 * host. Revisions are compared under the lock when a delta is applied, so a delayed response can
 * never replace a newer version by an older one.
 *
 * @param <T> type of the decoded document
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
   * @param decoder decodes a document or returns a description of the error
   */
  public DocumentFollower(Function<Document, Either<String, T>> decoder) {
    this.decoder = decoder;
  }

  /**
   * Applies the delta if it is newer than the document in force and starts at its revision or an
   * earlier one.
   */
  public synchronized OfferResult offer(Delta delta) {
    if (!delta.target().isAfter(document.revision())) {
      return OfferResult.STALE;
    }
    if (delta.base().isAfter(document.revision())) {
      return OfferResult.GAP;
    }
    Document next = document.with(delta);
    Either<String, T> decoded = decoder.apply(next);
    if (decoded.isLeft()) {
      fault = Optional.of(decoded.getLeft());
      return OfferResult.UNDECODABLE;
    }
    document = next;
    value = Optional.of(decoded.get());
    fault = Optional.empty();
    listeners.forEach(l -> l.accept(decoded.get()));
    return OfferResult.APPLIED;
  }

  /** Returns the document in force. */
  public synchronized Document document() {
    return document;
  }

  /** Returns the revision in force. */
  public synchronized Revision revision() {
    return document.revision();
  }

  /** Returns the decoded document in force, or empty if none has been applied yet. */
  public synchronized Optional<T> value() {
    return value;
  }

  /** Returns why the newest version could not be decoded, or empty if it was decoded. */
  public synchronized Optional<String> fault() {
    return fault;
  }

  /**
   * Registers a listener that is called after each change, in the order of revisions and under the
   * follower's lock.
   */
  public synchronized void onChange(Consumer<T> listener) {
    listeners.add(listener);
  }
}
