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

/** Provides a command with a connection to the platform store while the command runs. */
public final class StoreSession {
  private static final int THREADS = 1;

  private StoreSession() {}

  /** Runs {@code work} with the store at the addresses given on the command line. */
  public static ExitCode run(CommandLine line, Terminal terminal, Function<Store, ExitCode> work) {
    Either<String, List<URI>> addresses = CommonOptions.storeAddresses(line);
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
   * Reads the stored configuration, none if no configuration has been applied yet; returns an error
   * message for the operator on failure.
   */
  public static Either<String, Option<FleetConfiguration>> readConfiguration(Store store) {
    return new ConfigurationWriter(store)
        .read()
        .join()
        .mapLeft(f -> "the platform store did not answer: " + f.message())
        .flatMap(StoreSession::decodeConfiguration);
  }

  private static Either<String, Option<FleetConfiguration>> decodeConfiguration(Document document) {
    return document.revision().equals(Revision.NONE)
        ? Either.right(Option.none())
        : ConfigurationCodec.decode(document).map(Option::some);
  }
}
