package org.waxwingcourse.store.hosts;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.waxwingcourse.store.StoreFailure;

/** The platform's list of hosts, which lags behind the actual state by several seconds. */
public interface HostList {
  /** The prefix of the store keys under which hosts register. The host's id follows it. */
  String KEY_PREFIX = "/waxwing/hosts/";

  /** Reads the list. The future never completes exceptionally. */
  CompletableFuture<Either<StoreFailure, List<ListedHost>>> hosts();
}
