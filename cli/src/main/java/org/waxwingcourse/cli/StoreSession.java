package org.waxwingcourse.cli;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.URI;
import java.time.InstantSource;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.waxwingcourse.config.store.ConfigurationCodec;
import org.waxwingcourse.config.store.ConfigurationWriter;
import org.waxwingcourse.http.HttpCaller;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.service.ServiceGroup;
import org.waxwingcourse.model.time.MonotonicClock;
import org.waxwingcourse.policy.configuration.Document;
import org.waxwingcourse.store.Store;
import org.waxwingcourse.store.etcd.EtcdOptions;
import org.waxwingcourse.store.etcd.EtcdStore;

/** Connects a command to the platform store for as long as the command runs. */
public final class StoreSession {
  private static final int THREADS = 1;

  private StoreSession() {}

  /** Runs {@code work} with the store that the command line names. */
  public static ExitCode run(CommandLine line, Terminal terminal, Function<Store, ExitCode> work) {
    Either<String, List<URI>> addresses = Flags.stores(line);
    if (addresses.isLeft()) {
      return terminal.fail(ExitCode.USAGE, "%s", addresses.getLeft());
    }
    InstantSource clock = MonotonicClock.start();
    try (ServiceGroup services = new ServiceGroup()) {
      HttpCaller http = services.add(HttpCaller.of(clock, THREADS));
      EtcdOptions options = EtcdOptions.of(addresses.get().asJava());
      EtcdStore store = services.add(EtcdStore.of(http, clock, options));
      services.start();
      return work.apply(store);
    }
  }

  /**
   * Reads the configuration that is stored, nothing before the first was applied; the error is a
   * message for the operator.
   */
  public static Either<String, Option<FleetConfiguration>> configuration(Store store) {
    return new ConfigurationWriter(store)
        .read()
        .join()
        .mapLeft(f -> "the platform store did not answer: " + f.message())
        .flatMap(StoreSession::decode);
  }

  private static Either<String, Option<FleetConfiguration>> decode(Document document) {
    return document.revision().equals(Revision.NONE)
        ? Either.right(Option.none())
        : ConfigurationCodec.decode(document).map(Option::some);
  }
}
