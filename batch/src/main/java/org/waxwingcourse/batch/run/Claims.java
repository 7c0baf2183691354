package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;
import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.ChunkEntry;
import org.waxwingcourse.batch.record.ChunkMark;
import org.waxwingcourse.batch.record.Codec;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.ResultHead;
import org.waxwingcourse.batch.store.StoreCalls;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/** The writes by which a chunk changes hands. Each is one compare-and-swap. */
final class Claims {
  private static final int MAX_VALUE_BYTES = 900_000;

  private final StoreCalls calls;
  private final HostId host;
  private final Supplier<String> operations;

  Claims(StoreCalls calls, HostId host, Supplier<String> operations) {
    this.calls = calls;
    this.host = host;
    this.operations = operations;
  }

  /** Claims a chunk that nobody holds, if the job's state has not changed. */
  Option<Claim> claim(StoredJob job, int chunk, LeaseTerm term) {
    String key = Keys.chunk(job.job().id(), chunk);
    ChunkEntry entry = ChunkEntry.claim(host, operations.get());
    Transaction write =
        Transaction.builder()
            .absent(key)
            .unchanged(Keys.live(job.job().id()), job.revision())
            .put(key, Codec.json(entry), term.id())
            .build();
    WriteOutcome outcome = calls.write(write, e -> isOurs(e, key, entry));
    if (outcome instanceof WriteOutcome.NotSent notSent
        && notSent.failure().kind() == StoreFailure.Kind.LEASE_GONE) {
      term.end();
    }
    return outcome instanceof WriteOutcome.Done done
        ? Option.some(new Claim(job, chunk, done.revision(), term))
        : Option.none();
  }

  /**
   * Stores the results and ends the claim; they exist from then on, and never change. Parts beyond
   * the first are stored before: they are no results until the commit names them.
   */
  WriteOutcome commit(Claim claim, List<String> lines, Job.Counts counts, boolean expired) {
    byte[] packed = Codec.pack(lines);
    int parts = (packed.length + MAX_VALUE_BYTES - 1) / MAX_VALUE_BYTES;
    for (int i = 1; i < parts; i++) {
      Transaction spill = guarded(claim).put(partKey(claim, i), part(packed, i)).build();
      WriteOutcome outcome = calls.write(spill, e -> false);
      if (!(outcome instanceof WriteOutcome.Done)) {
        return outcome;
      }
    }
    JobId job = claim.job().job().id();
    ChunkEntry entry = new ChunkEntry(host, operations.get(), true, counts, expired);
    ResultHead head = new ResultHead(claim.fencing().value(), parts);
    Transaction write =
        guarded(claim)
            .put(claim.stateKey(), Codec.json(entry))
            .put(Keys.resultHead(job, claim.chunk()), Codec.json(head))
            .put(partKey(claim, 0), part(packed, 0))
            .delete(Keys.mark(job, claim.chunk()))
            .build();
    return calls.write(write, e -> isOurs(e, claim.stateKey(), entry));
  }

  private static String partKey(Claim claim, int part) {
    return Keys.result(claim.job().job().id(), claim.chunk(), claim.fencing().value(), part);
  }

  private static byte[] part(byte[] packed, int i) {
    int end = Math.min(packed.length, (i + 1) * MAX_VALUE_BYTES);
    return Arrays.copyOfRange(packed, i * MAX_VALUE_BYTES, end);
  }

  /** Gives a chunk back without results. */
  WriteOutcome release(Claim claim) {
    Transaction write =
        Transaction.builder()
            .unchanged(claim.stateKey(), claim.revision())
            .delete(claim.stateKey())
            .build();
    return calls.write(write, e -> false);
  }

  /** Stores how far items that may not be repeated may have been sent. */
  WriteOutcome mark(Claim claim, ChunkMark mark) {
    String key = Keys.mark(claim.job().job().id(), claim.chunk());
    Transaction write = guarded(claim).put(key, Codec.json(mark)).build();
    return calls.write(write, e -> false);
  }

  /** Reads the mark that an earlier owner of the chunk left. */
  Either<StoreFailure, ChunkMark> readMark(Claim claim) {
    return calls
        .read(KeyRange.ofKey(Keys.mark(claim.job().job().id(), claim.chunk())))
        .map(s -> s.first().map(e -> Codec.read(e, ChunkMark.class)).orElse(ChunkMark.NONE));
  }

  private static Transaction.Builder guarded(Claim claim) {
    return Transaction.builder()
        .unchanged(claim.stateKey(), claim.revision())
        .unchanged(claim.jobKey(), claim.job().revision());
  }

  private static boolean isOurs(Entry entry, String key, ChunkEntry written) {
    return entry.key().equals(key)
        && Codec.read(entry, ChunkEntry.class).operation().equals(written.operation());
  }
}
