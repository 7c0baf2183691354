package org.waxwingcourse.config.store;

import com.google.protobuf.ByteString;
import java.net.URI;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Set;
import java.util.stream.Collectors;
import org.waxwingcourse.model.fleet.DeclaredException;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.KeyHash;
import org.waxwingcourse.model.id.ModelName;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.wire.configuration.DefaultsValue;
import org.waxwingcourse.wire.configuration.EngineValue;
import org.waxwingcourse.wire.configuration.ExceptionValue;
import org.waxwingcourse.wire.configuration.OrganisationValue;
import org.waxwingcourse.wire.configuration.ServiceValue;

/**
 * Converts single declarations to and from their stored form; equal values are encoded as equal
 * bytes.
 */
final class BucketCodec {
  private BucketCodec() {}

  static DefaultsValue encode(Defaults d) {
    return DefaultsValue.newBuilder()
        .setRatePerSecond(d.rate().perSecond())
        .setBurst(d.rate().burst())
        .setEngineSlots(d.engineSlots())
        .setOnlineTimeoutNanos(d.onlineTimeout().toNanos())
        .setFirstTokenNanos(d.firstToken().toNanos())
        .setBetweenTokensNanos(d.betweenTokens().toNanos())
        .setMaxBodyBytes(d.maxBodyBytes())
        .setBatchTries(d.batchTries())
        .build();
  }

  static Defaults decode(DefaultsValue v) {
    return new Defaults(
        Rate.of(v.getRatePerSecond(), v.getBurst()),
        v.getEngineSlots(),
        Duration.ofNanos(v.getOnlineTimeoutNanos()),
        Duration.ofNanos(v.getFirstTokenNanos()),
        Duration.ofNanos(v.getBetweenTokensNanos()),
        v.getMaxBodyBytes(),
        v.getBatchTries());
  }

  static OrganisationValue encode(Organisation o) {
    OrganisationValue.Builder value =
        OrganisationValue.newBuilder()
            .setId(o.id().value())
            .setRatePerSecond(o.rate().perSecond())
            .setBurst(o.rate().burst());
    o.keys().stream()
        .map(KeyHash::hex)
        .sorted()
        .map(hex -> ByteString.copyFrom(HexFormat.of().parseHex(hex)))
        .forEach(value::addKeys);
    return value.build();
  }

  static Organisation decode(OrganisationValue v) {
    Set<KeyHash> keys =
        v.getKeysList().stream()
            .map(k -> KeyHash.of(HexFormat.of().formatHex(k.toByteArray())))
            .collect(Collectors.toSet());
    Rate rate = Rate.of(v.getRatePerSecond(), v.getBurst());
    return new Organisation(OrganisationId.of(v.getId()), rate, keys);
  }

  static EngineValue encode(Engine e) {
    return EngineValue.newBuilder()
        .setId(e.id().value())
        .setAddress(e.address().toString())
        .setDataCentre(e.dataCentre().value())
        .addAllModels(e.models().stream().map(ModelName::value).sorted().toList())
        .setSlots(e.slots())
        .setChecksFencing(e.checksFencing())
        .setLeaving(e.leaving())
        .build();
  }

  static Engine decode(EngineValue v) {
    return new Engine(
        UpstreamId.of(v.getId()),
        URI.create(v.getAddress()),
        DataCentreId.of(v.getDataCentre()),
        v.getModelsList().stream().map(ModelName::of).collect(Collectors.toSet()),
        v.getSlots(),
        v.getChecksFencing(),
        v.getLeaving());
  }

  static ServiceValue encode(PlainService s) {
    return ServiceValue.newBuilder()
        .setName(s.name().value())
        .addAllAddresses(s.addresses().stream().map(URI::toString).toList())
        .setRepeatable(s.repeatable())
        .setOpen(s.open())
        .build();
  }

  static PlainService decode(ServiceValue v) {
    return new PlainService(
        ServiceName.of(v.getName()),
        v.getAddressesList().stream().map(URI::create).toList(),
        v.getRepeatable(),
        v.getOpen());
  }

  static ExceptionValue encode(DeclaredException e) {
    return ExceptionValue.newBuilder()
        .setTarget(e.target())
        .setSetting(e.setting())
        .setValue(e.value())
        .setReason(e.reason())
        .build();
  }

  static DeclaredException decode(ExceptionValue v) {
    return new DeclaredException(v.getTarget(), v.getSetting(), v.getValue(), v.getReason());
  }
}
