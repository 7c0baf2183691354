package org.waxwingcourse.store.etcd;

import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/** Converts transactions to etcd's request form and etcd's responses to write outcomes. */
final class TransactionCodec {
  private TransactionCodec() {}

  static EtcdMessages.TxnRequest messageOf(Transaction transaction) {
    List<EtcdMessages.CompareMessage> compares = new ArrayList<>();
    List<EtcdMessages.Operation> reads = new ArrayList<>();
    for (Transaction.Compare compare : transaction.comparisons()) {
      byte[] key = EtcdJson.bytesOf(compare.key());
      compares.add(
          new EtcdMessages.CompareMessage(
              key, EtcdMessages.TARGET_MOD, EtcdMessages.RESULT_EQUAL, compare.modified().value()));
      reads.add(new EtcdMessages.Operation(new EtcdMessages.RangeRequest(key, null), null, null));
    }
    List<EtcdMessages.Operation> changes =
        transaction.changes().stream().map(TransactionCodec::operationOf).toList();
    return new EtcdMessages.TxnRequest(compares, changes, reads);
  }

  static WriteOutcome outcomeOf(EtcdMessages.TxnResponse answer) {
    if (answer.header() == null) {
      return new WriteOutcome.Unknown("the response to a write has no header");
    }
    Revision revision = Revision.of(answer.header().revision());
    if (answer.succeeded()) {
      return new WriteOutcome.Done(revision);
    }
    List<Entry> current =
        answer.responses().stream()
            .filter(response -> response.responseRange() != null)
            .flatMap(response -> response.responseRange().kvs().stream())
            .map(EtcdJson::entryOf)
            .toList();
    return new WriteOutcome.Lost(revision, current);
  }

  private static EtcdMessages.Operation operationOf(Transaction.Change change) {
    byte[] key = EtcdJson.bytesOf(change.key());
    if (change instanceof Transaction.Put put) {
      var request = new EtcdMessages.PutRequest(key, put.value(), put.lease().value());
      return new EtcdMessages.Operation(null, request, null);
    }
    return new EtcdMessages.Operation(null, null, new EtcdMessages.DeleteRangeRequest(key));
  }
}
