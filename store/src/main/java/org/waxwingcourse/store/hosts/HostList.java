package org.waxwingcourse.store.hosts;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.store.StoreFailure;

/** The platform's list of hosts, which lags behind the truth by some seconds. */
public interface HostList {
  /** The store keys under which hosts register, each followed by the host's id. */
  String KEY_PREFIX = "/waxwing/hosts/";

  /** Reads the list. The future never completes exceptionally. */
  CompletableFuture<Either<StoreFailure, List<ListedHost>>> hosts();
}
