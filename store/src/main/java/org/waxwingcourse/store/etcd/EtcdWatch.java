package org.waxwingcourse.store.etcd;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.waxwingcourse.http.BufferedHttpResponse;
import org.waxwingcourse.http.CallFailure;
import org.waxwingcourse.http.StreamCall;
import org.waxwingcourse.http.StreamListener;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Watch;
import org.waxwingcourse.store.WatchListener;

/**
 * A watch that runs over a sequence of calls. Each call has a time limit and the next one starts
 * after the last revision seen, so a connection that delivers nothing delays changes by at most
 * that limit.
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
  private long lastRevision;
  private BufferedHttpResponse errorHead;

  EtcdWatch(
      EtcdGateway gateway,
      EtcdOptions options,
      KeyRange range,
      Revision lastRevision,
      WatchListener listener,
      Consumer<EtcdWatch> onEnded) {
    this.gateway = gateway;
    this.options = options;
    this.range = range;
    this.lastRevision = lastRevision.value();
    this.listener = listener;
    this.onEnded = onEnded;
  }

  private record Change(Entry entry, boolean deleted) {}

  void open() {
    lines.clear();
    var create =
        new EtcdMessages.WatchCreate(
            EtcdJson.bytesOf(range.key()), EtcdJson.rangeEndOf(range), lastRevision + 1);
    var request = new EtcdMessages.WatchRequest(create);
    StreamCall newCall = gateway.stream("/v3/watch", request, options.watchRenewal(), this);
    call = newCall;
    if (closed) {
      newCall.cancel();
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
  public void onHead(BufferedHttpResponse head) {
    errorHead = head.isSuccess() ? null : head;
  }

  @Override
  public void onChunk(byte[] bytes) {
    if (errorHead != null) {
      return;
    }
    for (byte[] line : lines.split(bytes)) {
      if (!closed) {
        EtcdJson.read(line, EtcdMessages.WatchFrame.class)
            .peekLeft(message -> failAndCancel(StoreFailure.Kind.MALFORMED, message))
            .peek(frame -> handleResponse(frame.result()));
      }
    }
  }

  @Override
  public void onEnd(Option<CallFailure> failure) {
    if (closed) {
      return;
    }
    if (errorHead != null) {
      endWithFailure(EtcdStore.failureOf(errorHead));
    } else if (failure.isEmpty()) {
      endWithFailure(
          new StoreFailure(StoreFailure.Kind.UNREACHABLE, "the store closed the watch stream"));
    } else if (failure.get().kind() == CallFailure.Kind.TIMED_OUT) {
      open();
    } else {
      gateway.switchAddress(failure.get());
      endWithFailure(EtcdStore.failureOf(failure.get()));
    }
  }

  private void handleResponse(EtcdMessages.WatchResponse response) {
    if (response == null) {
      failAndCancel(StoreFailure.Kind.MALFORMED, "a watch frame has no result");
    } else if (response.canceled()) {
      String message =
          "the store cancelled the watch; compact revision " + response.compactRevision();
      failAndCancel(StoreFailure.Kind.UNREACHABLE, message);
    } else {
      EtcdJson.convert(response.events(), EtcdWatch::changesOf)
          .peekLeft(message -> failAndCancel(StoreFailure.Kind.MALFORMED, message))
          .peek(this::notifyListener);
    }
  }

  private static List<Change> changesOf(List<EtcdMessages.WatchEvent> events) {
    return events.stream()
        .map(e -> new Change(EtcdJson.entryOf(e.kv()), EtcdMessages.EVENT_DELETE.equals(e.type())))
        .toList();
  }

  private void notifyListener(List<Change> changes) {
    Map<String, Change> lastChanges = new LinkedHashMap<>();
    long newestRevision = lastRevision;
    for (Change change : changes) {
      long revision = change.entry().modified().value();
      if (revision > lastRevision) {
        lastChanges.put(change.entry().key(), change);
        newestRevision = Math.max(newestRevision, revision);
      }
    }
    if (lastChanges.isEmpty()) {
      return;
    }
    lastRevision = newestRevision;
    List<Entry> puts = new ArrayList<>();
    List<String> deletes = new ArrayList<>();
    for (Change change : lastChanges.values()) {
      if (change.deleted()) {
        deletes.add(change.entry().key());
      } else {
        puts.add(change.entry());
      }
    }
    listener.onChanges(Revision.of(newestRevision), puts, deletes);
  }

  private void failAndCancel(StoreFailure.Kind kind, String message) {
    StreamCall open = call;
    endWithFailure(new StoreFailure(kind, message));
    if (open != null) {
      open.cancel();
    }
  }

  private void endWithFailure(StoreFailure failure) {
    if (!closed) {
      closed = true;
      onEnded.accept(this);
      listener.onFailure(failure);
    }
  }
}
