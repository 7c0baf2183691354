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
import org.waxwingcourse.store.StoreAnswers;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/**
 * Answers operators' orders to evacuate a host. A host keeps no durable state: accepted work is in
 * the store, and a host that is removed is replaced like any host that fails. An order is therefore
 * complete once it has been read, and only the answer has to be written.
 */
public final class Evacuations {
  private static final EventLog LOG = EventLog.of(Evacuations.class);

  private final Store store;
  private final EvacuationFormat format;
  private final Set<HostId> answered = new HashSet<>();

  /** Format of evacuation orders and their answers in the store. */
  public interface EvacuationFormat {
    /** Returns the host that an entry orders to evacuate, none if the entry is another order. */
    Option<HostId> host(Entry order);

    /** Returns the key of the answer for a host. */
    String answerKey(HostId host);

    /** Returns the answer that a host has been evacuated. */
    byte[] completedAnswer();
  }

  Evacuations(Store store, EvacuationFormat format) {
    this.store = store;
    this.format = format;
  }

  /** Answers the orders among all present entries that have not been answered yet. */
  synchronized void onOrders(List<Entry> orders) {
    for (Entry order : orders) {
      format.host(order).filter(answered::add).forEach(this::answer);
    }
  }

  private void answer(HostId host) {
    Transaction write =
        Transaction.builder().put(format.answerKey(host), format.completedAnswer()).build();
    StoreAnswers.handle(
        store.write(write),
        "a write of the answer for host " + host,
        outcome -> onWritten(host, outcome),
        failure -> answerLater(host));
  }

  private synchronized void answerLater(HostId host) {
    answered.remove(host);
  }

  private synchronized void onWritten(HostId host, WriteOutcome outcome) {
    LOG.write(Event.HOST_EMPTIED, host, outcome);
    if (!(outcome instanceof WriteOutcome.Done)) {
      answered.remove(host);
    }
  }
}
