package org.waxwingcourse.fleet;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Answers operators who want a host emptied. Nothing lasts on a host: what was accepted lies in the
 * store, and a host that goes loses its place as any other does. So an order is done once it has
 * been read, and all that remains is to say so.
 */
public final class Evacuations {
  private static final EventLog LOG = EventLog.of(Evacuations.class);

  private final Store store;
  private final Form form;
  private final Set<HostId> done = new HashSet<>();

  /** How orders and their answers stand in the store. */
  public interface Form {
    /** Returns the host that an entry orders to be emptied, none if it orders something else. */
    Option<HostId> host(Entry order);

    /** Returns the key under which the answer for a host stands. */
    String answerKey(HostId host);

    /** Returns the answer that a host is empty. */
    byte[] emptied();
  }

  Evacuations(Store store, Form form) {
    this.store = store;
    this.form = form;
  }

  /** Takes in all orders as they stand. */
  synchronized void onOrders(List<Entry> orders) {
    for (Entry order : orders) {
      form.host(order).filter(done::add).forEach(this::answer);
    }
  }

  private void answer(HostId host) {
    Transaction write = Transaction.builder().put(form.answerKey(host), form.emptied()).build();
    store.write(write).thenAccept(outcome -> onWritten(host, outcome));
  }

  private synchronized void onWritten(HostId host, WriteOutcome outcome) {
    LOG.write(Event.HOST_EMPTIED, host, outcome);
    if (!(outcome instanceof WriteOutcome.Done)) {
      done.remove(host);
    }
  }
}
