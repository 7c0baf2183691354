package org.waxwingcourse.node;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.waxwingcourse.config.store.ConfigurationCodec;
import org.waxwingcourse.config.store.ConfigurationWriter;
import org.waxwingcourse.model.event.Event;
import org.waxwingcourse.model.event.EventLog;
import org.waxwingcourse.model.fleet.ConfigurationSource;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.request.Authenticator;
import org.waxwingcourse.model.request.Refusal;
import org.waxwingcourse.model.request.RefusalCode;
import org.waxwingcourse.model.service.Service;
import org.waxwingcourse.platform.store.Store;

/** The configuration as read from the store once a second. */
final class StoredConfiguration implements ConfigurationSource, Authenticator, Service {
  private static final EventLog LOG = EventLog.of(StoredConfiguration.class);
  private static final long PERIOD_MILLIS = 1000;

  private final Store store;
  private final List<Consumer<FleetConfiguration>> listeners = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private volatile FleetConfiguration current;

  StoredConfiguration(Store store) {
    this.store = store;
  }

  @Override
  public void start() {
    timer.scheduleWithFixedDelay(this::poll, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void stop() {
    timer.shutdownNow();
  }

  @Override
  public Optional<FleetConfiguration> current() {
    return Optional.ofNullable(current);
  }

  @Override
  public void onChange(Consumer<FleetConfiguration> listener) {
    listeners.add(listener);
  }

  @Override
  public Either<Refusal, Organisation> authenticate(KeyHash key) {
    return Option.ofOptional(current().flatMap(c -> c.owner(key)))
        .toEither(
            () -> new Refusal(RefusalCode.INVALID_KEY, "the key does not work", Instant.EPOCH));
  }

  @Override
  public Session open(KeyHash key, Runnable onWithdrawn) {
    return () -> {};
  }

  private void poll() {
    new ConfigurationWriter(store)
        .read()
        .thenAccept(read -> read.peek(d -> ConfigurationCodec.decode(d).peek(this::apply)));
  }

  private synchronized void apply(FleetConfiguration read) {
    if (current != null && !read.revision().isAfter(current.revision())) {
      return;
    }
    current = read;
    LOG.write(Event.CONFIGURATION_APPLIED, read.revision().value());
    listeners.forEach(l -> l.accept(read));
  }
}
