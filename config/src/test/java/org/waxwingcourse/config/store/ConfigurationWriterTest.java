package org.waxwingcourse.config.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.waxwingcourse.model.fleet.DeclaredException;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.store.Transaction;

class ConfigurationWriterTest {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private final FakeStore store = new FakeStore();
  private final ConfigurationWriter writer = new ConfigurationWriter(store);

  @Test
  void writesLargestFleetInOneTransaction() {
    FleetConfiguration wanted = fleet(350, 3_800, 10);
    assertThat(apply("op-1", Revision.NONE, wanted)).isEqualTo(accepted(1));
    assertThat(store.lastTransaction.changes())
        .hasSizeLessThanOrEqualTo(Transaction.MAX_OPERATIONS);
    assertThat(store.entries.values()).allMatch(e -> e.value().length < MAX_VALUE_BYTES);
    assertThat(ConfigurationCodec.decode(writer.read().join().get()).get())
        .isEqualTo(wanted.at(Revision.of(1)));
  }

  @Test
  void writesOneBucketAndHeadForChangeOfOneOrganisation() {
    apply("op-1", Revision.NONE, fleet(350, 3_800, 10));
    FleetConfiguration changed = withRate(fleet(350, 3_800, 10), "org7", 99);
    assertThat(apply("op-2", Revision.of(1), changed)).isEqualTo(accepted(2));
    assertThat(store.lastTransaction.changes()).hasSize(2);
    assertThat(apply("op-3", Revision.of(2), changed))
        .isEqualTo(new ApplyOutcome.Unchanged(Revision.of(2)));
  }

  @Test
  void reportsWinningChangeToLosingOperator() {
    apply("op-1", Revision.NONE, fleet(3, 3, 10));
    FleetConfiguration first = withRate(fleet(3, 3, 10), "org1", 20);
    FleetConfiguration second = withRate(fleet(3, 3, 10), "org1", 30);
    store.beforeNextWrite = () -> apply("op-first", Revision.of(1), first);
    ApplyOutcome outcome = apply("op-second", Revision.of(1), second);
    assertThat(outcome).isEqualTo(new ApplyOutcome.LostRace(change("op-first"), Revision.of(2)));
    assertThat(ConfigurationCodec.decode(writer.read().join().get()).get())
        .isEqualTo(first.at(Revision.of(2)));
  }

  @Test
  void writesOnceWhenResponseIsLost() {
    store.responsesToDrop = 1;
    assertThat(apply("op-1", Revision.NONE, fleet(3, 3, 10))).isEqualTo(accepted(1));
    assertThat(store.revision).isEqualTo(1);
  }

  @Test
  void acceptsRepeatedOperationAfterLaterChange() {
    apply("op-1", Revision.NONE, fleet(3, 3, 10));
    apply("op-2", Revision.of(1), fleet(3, 3, 20));
    apply("op-3", Revision.of(2), fleet(3, 3, 30));
    assertThat(apply("op-2", Revision.of(1), fleet(3, 3, 20))).isEqualTo(accepted(3));
  }

  @Test
  void returnsUnknownWhenWriteIsNeverAnswered() {
    store.requestsToDrop = Integer.MAX_VALUE;
    assertThat(apply("op-1", Revision.NONE, fleet(3, 3, 10)))
        .isInstanceOf(ApplyOutcome.Unknown.class);
  }

  @Test
  void rejectsChangeWithoutReason() {
    assertThat(Change.of("op", "huda", Instant.EPOCH, " ").getLeft()).contains("reason");
  }

  private ApplyOutcome apply(String operation, Revision base, FleetConfiguration wanted) {
    return writer.apply(change(operation), base, wanted).join();
  }

  private static Change change(String operation) {
    return Change.of(operation, "huda", Instant.EPOCH, "test of " + operation).get();
  }

  private static ApplyOutcome accepted(long revision) {
    return new ApplyOutcome.Accepted(Revision.of(revision));
  }

  private static FleetConfiguration withRate(FleetConfiguration c, String name, double rate) {
    Map<OrganisationId, Organisation> organisations = new HashMap<>(c.organisations());
    OrganisationId id = OrganisationId.of(name);
    Set<KeyHash> keys = organisations.get(id).keys();
    organisations.put(id, new Organisation(id, Rate.of(rate, 5), keys));
    return new FleetConfiguration(
        c.revision(), c.defaults(), organisations, c.engines(), c.services(), c.exceptions());
  }

  private static FleetConfiguration fleet(int organisations, int engines, double rate) {
    Map<OrganisationId, Organisation> byId = new HashMap<>();
    for (int i = 0; i < organisations; i++) {
      OrganisationId id = OrganisationId.of("org" + i);
      Set<KeyHash> keys = Set.of(KeyHash.ofKey("a" + i), KeyHash.ofKey("b" + i));
      byId.put(id, new Organisation(id, Rate.of(rate, 5), keys));
    }
    Map<UpstreamId, Engine> byName = new HashMap<>();
    for (int i = 0; i < engines; i++) {
      UpstreamId id = UpstreamId.of("engine" + i);
      URI address = URI.create("http://10.0.0.1:" + (1_000 + i));
      Set<ModelName> models = Set.of(ModelName.of("m1"), ModelName.of("m2"));
      DataCentreId dataCentre = DataCentreId.of("dc" + i % 8);
      byName.put(id, new Engine(id, address, dataCentre, models, 8, i % 2 == 0, false));
    }
    ServiceName name = ServiceName.of("estimate");
    List<URI> addresses = List.of(URI.create("http://10.0.0.2:80"));
    Defaults defaults =
        new Defaults(
            Rate.of(rate, 5),
            8,
            Duration.ofSeconds(30),
            Duration.ofMillis(1_600),
            Duration.ofMillis(58),
            1 << 20,
            3);
    return new FleetConfiguration(
        Revision.NONE,
        defaults,
        byId,
        byName,
        Map.of(name, new PlainService(name, addresses, false, true)),
        List.of(new DeclaredException("organisation \"org1\"", "rate", "9", "open day")));
  }
}
