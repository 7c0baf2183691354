package org.waxwingcourse.standin.platform;

import io.vavr.control.Either;
import java.util.List;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.LeaseId;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;
import org.waxwingcourse.store.etcd.EtcdJson;
import org.waxwingcourse.store.etcd.EtcdMessages;

/** Decodes etcd transaction requests and encodes their responses. */
final class TxnCodec {
  private TxnCodec() {}

  static Either<String, Transaction> decode(EtcdMessages.TxnRequest request) {
    Transaction.Builder builder = Transaction.builder();
    for (EtcdMessages.CompareMessage compare : request.compare()) {
      if (!EtcdMessages.TARGET_MOD.equals(compare.target())
          || !EtcdMessages.RESULT_EQUAL.equals(compare.result())) {
        return Either.left("the stand-in supports only comparisons of MOD with EQUAL");
      }
      builder.unchanged(EtcdJson.keyOf(compare.key()), Revision.of(compare.modRevision()));
    }
    for (EtcdMessages.Operation operation : request.success()) {
      if (operation.requestPut() != null) {
        EtcdMessages.PutRequest put = operation.requestPut();
        byte[] value = put.value() == null ? new byte[0] : put.value();
        builder.put(EtcdJson.keyOf(put.key()), value, LeaseId.of(put.lease()));
      } else if (operation.requestDeleteRange() != null) {
        builder.delete(EtcdJson.keyOf(operation.requestDeleteRange().key()));
      } else {
        return Either.left("the stand-in supports only puts and deletes on success");
      }
    }
    return Either.right(builder.build());
  }

  static EtcdMessages.TxnResponse encodeSuccess(WriteOutcome.Done done) {
    return new EtcdMessages.TxnResponse(headerOf(done.revision()), true, List.of());
  }

  static EtcdMessages.TxnResponse encodeFailure(
      WriteOutcome.Lost lost, List<EtcdMessages.Operation> reads) {
    EtcdMessages.Header header = headerOf(lost.revision());
    List<EtcdMessages.OperationResponse> responses =
        reads.stream()
            .filter(read -> read.requestRange() != null)
            .map(read -> rangeResponse(header, lost.current(), read.requestRange()))
            .toList();
    return new EtcdMessages.TxnResponse(header, false, responses);
  }

  static EtcdMessages.Header headerOf(Revision revision) {
    return new EtcdMessages.Header(revision.value());
  }

  private static EtcdMessages.OperationResponse rangeResponse(
      EtcdMessages.Header header, List<Entry> current, EtcdMessages.RangeRequest read) {
    String key = EtcdJson.keyOf(read.key());
    List<EtcdMessages.KeyValue> found =
        current.stream().filter(entry -> entry.key().equals(key)).map(EtcdJson::messageOf).toList();
    return new EtcdMessages.OperationResponse(new EtcdMessages.RangeResponse(header, found));
  }
}
