package org.waxwingcourse.batch.run;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;
import org.waxwingcourse.batch.job.StoredJob;
import org.waxwingcourse.batch.record.ChunkEntry;
import org.waxwingcourse.batch.record.Job;
import org.waxwingcourse.batch.record.Keys;
import org.waxwingcourse.batch.record.RecordCodec;
import org.waxwingcourse.batch.record.ResultHeader;
import org.waxwingcourse.batch.record.SendCheckpoint;
import org.waxwingcourse.batch.store.StoreClient;
import org.waxwingcourse.model.id.HostId;
import org.waxwingcourse.model.id.JobId;
import org.waxwingcourse.store.Entry;
import org.waxwingcourse.store.KeyRange;
import org.waxwingcourse.store.StoreFailure;
import org.waxwingcourse.store.Transaction;
import org.waxwingcourse.store.WriteOutcome;

/** Claims, releases and commits chunks in the store. Each write is one compare-and-swap. */
final class ClaimStore {
  private static final int MAX_VALUE_BYTES = 900_000;

  private final StoreClient storeClient;
  private final HostId host;
  private final Supplier<String> operationIds;

  ClaimStore(StoreClient storeClient, HostId host, Supplier<String> operationIds) {
    this.storeClient = storeClient;
    this.host = host;
    this.operationIds = operationIds;
  }

  /** Claims a free chunk, provided that the job's manifest has not changed. */
  Option<Claim> claimChunk(StoredJob job, int chunk, LeaseTerm term) {
    String key = Keys.chunkState(job.job().id(), chunk);
    ChunkEntry entry = ChunkEntry.claim(host, operationIds.get());
    Transaction write =
        Transaction.builder()
            .requireAbsent(key)
            .requireUnmodified(Keys.liveJob(job.job().id()), job.revision())
            .put(key, RecordCodec.toJson(entry), term.id())
            .build();
    WriteOutcome outcome = storeClient.write(write, e -> isOwnWrite(e, key, entry));
    if (outcome instanceof WriteOutcome.NotSent notSent
        && notSent.failure().kind() == StoreFailure.Kind.LEASE_GONE) {
      term.end();
    }
    return outcome instanceof WriteOutcome.Done done
        ? Option.some(new Claim(job, chunk, done.revision(), term))
        : Option.none();
  }

  /**
   * Stores the results of a chunk and ends the claim. The results never change afterwards. Parts
   * after the first are stored before the commit, and are not results until the commit stores the
   * header that refers to them.
   */
  WriteOutcome commitResults(Claim claim, List<String> lines, Job.Counts counts, boolean expired) {
    byte[] compressed = RecordCodec.compress(lines);
    int parts = (compressed.length + MAX_VALUE_BYTES - 1) / MAX_VALUE_BYTES;
    for (int i = 1; i < parts; i++) {
      Transaction partWrite =
          guardedBy(claim).put(partKey(claim, i), partOf(compressed, i)).build();
      WriteOutcome outcome = storeClient.write(partWrite, e -> false);
      if (!(outcome instanceof WriteOutcome.Done)) {
        return outcome;
      }
    }
    JobId job = claim.job().job().id();
    ChunkEntry entry = new ChunkEntry(host, operationIds.get(), true, counts, expired);
    ResultHeader header = new ResultHeader(claim.fencingNumber().value(), parts);
    Transaction write =
        guardedBy(claim)
            .put(claim.stateKey(), RecordCodec.toJson(entry))
            .put(Keys.resultHeader(job, claim.chunk()), RecordCodec.toJson(header))
            .put(partKey(claim, 0), partOf(compressed, 0))
            .delete(Keys.sendCheckpoint(job, claim.chunk()))
            .build();
    return storeClient.write(write, e -> isOwnWrite(e, claim.stateKey(), entry));
  }

  private static String partKey(Claim claim, int part) {
    return Keys.resultPart(
        claim.job().job().id(), claim.chunk(), claim.fencingNumber().value(), part);
  }

  private static byte[] partOf(byte[] compressed, int i) {
    int end = Math.min(compressed.length, (i + 1) * MAX_VALUE_BYTES);
    return Arrays.copyOfRange(compressed, i * MAX_VALUE_BYTES, end);
  }

  /** Releases a chunk without results. */
  WriteOutcome releaseChunk(Claim claim) {
    Transaction write =
        Transaction.builder()
            .requireUnmodified(claim.stateKey(), claim.revision())
            .delete(claim.stateKey())
            .build();
    return storeClient.write(write, e -> false);
  }

  /** Stores the checkpoint of a chunk whose items may not be repeated. */
  WriteOutcome storeCheckpoint(Claim claim, SendCheckpoint checkpoint) {
    String key = Keys.sendCheckpoint(claim.job().job().id(), claim.chunk());
    Transaction write = guardedBy(claim).put(key, RecordCodec.toJson(checkpoint)).build();
    return storeClient.write(write, e -> false);
  }

  /** Reads the chunk's checkpoint, or returns {@link SendCheckpoint#NONE} if there is none. */
  Either<StoreFailure, SendCheckpoint> readCheckpoint(Claim claim) {
    return storeClient
        .read(KeyRange.ofKey(Keys.sendCheckpoint(claim.job().job().id(), claim.chunk())))
        .map(
            s ->
                s.firstEntry()
                    .map(e -> RecordCodec.fromEntry(e, SendCheckpoint.class))
                    .orElse(SendCheckpoint.NONE));
  }

  private static Transaction.Builder guardedBy(Claim claim) {
    return Transaction.builder()
        .requireUnmodified(claim.stateKey(), claim.revision())
        .requireUnmodified(claim.jobKey(), claim.job().revision());
  }

  private static boolean isOwnWrite(Entry entry, String key, ChunkEntry written) {
    return entry.key().equals(key)
        && RecordCodec.fromEntry(entry, ChunkEntry.class).operation().equals(written.operation());
  }
}
