package org.waxwingcourse.store.etcd;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.HttpAnswer;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * One watch over a series of calls. Each call lasts for a bounded time and the next begins after
 * the last revision seen, so that a connection that has gone silent cannot hide changes for longer.
 */
final class EtcdWatch implements Watch, StreamListener {
  private final EtcdGateway gateway;
  private final EtcdOptions options;
  private final KeyRange range;
  private final WatchListener listener;
  private final Consumer<EtcdWatch> onEnded;
  private final LineSplitter lines = new LineSplitter();
  private volatile boolean closed;
  private volatile StreamCall call;
  private long after;
  private HttpAnswer refusal;

  EtcdWatch(
      EtcdGateway gateway,
      EtcdOptions options,
      KeyRange range,
      Revision after,
      WatchListener listener,
      Consumer<EtcdWatch> onEnded) {
    this.gateway = gateway;
    this.options = options;
    this.range = range;
    this.after = after.value();
    this.listener = listener;
    this.onEnded = onEnded;
  }

  private record Change(Entry entry, boolean deleted) {}

  void open() {
    lines.clear();
    var create =
        new EtcdMessages.WatchCreate(
            EtcdJson.bytesOf(range.key()), EtcdJson.rangeEndOf(range), after + 1);
    var request = new EtcdMessages.WatchRequest(create);
    StreamCall opened = gateway.stream("/v3/watch", request, options.watchRenewal(), this);
    call = opened;
    if (closed) {
      opened.cancel();
    }
  }

  @Override
  public void close() {
    closed = true;
    onEnded.accept(this);
    StreamCall open = call;
    if (open != null) {
      open.cancel();
    }
  }

  @Override
  public void onHead(HttpAnswer head) {
    refusal = head.isSuccess() ? null : head;
  }

  @Override
  public void onChunk(byte[] bytes) {
    if (refusal != null) {
      return;
    }
    for (byte[] line : lines.split(bytes)) {
      if (!closed) {
        EtcdJson.read(line, EtcdMessages.WatchFrame.class)
            .peekLeft(message -> fail(StoreFailure.Kind.MALFORMED, message))
            .peek(frame -> apply(frame.result()));
      }
    }
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    if (closed) {
      return;
    }
    if (refusal != null) {
      breakWith(EtcdStore.failureOf(refusal));
    } else if (failure.isEmpty()) {
      breakWith(new StoreFailure(StoreFailure.Kind.UNREACHABLE, "the store ended the watch"));
    } else if (failure.get().kind() == CallFailure.Kind.TIMED_OUT) {
      open();
    } else {
      gateway.leave(failure.get());
      breakWith(EtcdStore.failureOf(failure.get()));
    }
  }

  private void apply(EtcdMessages.WatchResponse response) {
    if (response == null) {
      fail(StoreFailure.Kind.MALFORMED, "a frame of the watch has no result");
    } else if (response.canceled()) {
      String message = "the store cancelled the watch; compacted at " + response.compactRevision();
      fail(StoreFailure.Kind.UNREACHABLE, message);
    } else {
      EtcdJson.convert(response.events(), EtcdWatch::changesOf)
          .peekLeft(message -> fail(StoreFailure.Kind.MALFORMED, message))
          .peek(this::deliver);
    }
  }

  private static List<Change> changesOf(List<EtcdMessages.WatchEvent> events) {
    return events.stream()
        .map(e -> new Change(EtcdJson.entryOf(e.kv()), EtcdMessages.EVENT_DELETE.equals(e.type())))
        .toList();
  }

  private void deliver(List<Change> changes) {
    Map<String, Change> last = new LinkedHashMap<>();
    long newest = after;
    for (Change change : changes) {
      long revision = change.entry().modified().value();
      if (revision > after) {
        last.put(change.entry().key(), change);
        newest = Math.max(newest, revision);
      }
    }
    if (last.isEmpty()) {
      return;
    }
    after = newest;
    List<Entry> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (Change change : last.values()) {
      if (change.deleted()) {
        deletes.add(change.entry().key());
      } else {
        puts.add(change.entry());
      }
    }
    listener.onChanges(Revision.of(newest), puts, deletes);
  }

  private void fail(StoreFailure.Kind kind, String message) {
    StreamCall open = call;
    breakWith(new StoreFailure(kind, message));
    if (open != null) {
      open.cancel();
    }
  }

  private void breakWith(StoreFailure failure) {
    if (!closed) {
      closed = true;
      onEnded.accept(this);
      listener.onBroken(failure);
    }
  }
}
