package org.waxwingcourse.config.store;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.waxwingcourse.model.fleet.DeclaredException;
import org.waxwingcourse.model.fleet.Defaults;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.OrganisationId;
import org.waxwingcourse.model.id.Revision;
import org.waxwingcourse.model.id.ServiceName;
import org.waxwingcourse.model.id.UpstreamId;
import org.waxwingcourse.policy.configuration.Document;
import org.waxwingcourse.policy.configuration.Part;
import org.waxwingcourse.wire.configuration.BucketValue;
import org.waxwingcourse.wire.configuration.DefaultsValue;

/**
 * Converts a configuration to and from the parts of a stored document. Declarations are hashed by
 * name into a fixed number of buckets for each kind, so that a change of one declaration rewrites
 * one small entry and a change of all declarations still fits into one transaction of the store.
 */
public final class ConfigurationCodec {
  private static final int ORGANISATION_BUCKETS = 32;
  private static final int ENGINE_BUCKETS = 64;
  private static final int SERVICE_BUCKETS = 8;
  private static final int EXCEPTION_BUCKETS = 8;

  private ConfigurationCodec() {}

  /** Encodes the configuration as parts in the order of their names, without the head entry. */
  public static List<Part> encode(FleetConfiguration c) {
    SortedMap<String, BucketValue.Builder> buckets = new TreeMap<>();
    createBuckets(buckets, ConfigurationKeys.ORGANISATIONS, ORGANISATION_BUCKETS);
    createBuckets(buckets, ConfigurationKeys.ENGINES, ENGINE_BUCKETS);
    createBuckets(buckets, ConfigurationKeys.SERVICES, SERVICE_BUCKETS);
    createBuckets(buckets, ConfigurationKeys.EXCEPTIONS, EXCEPTION_BUCKETS);
    for (Organisation o : sorted(c.organisations().values(), o -> o.id().value())) {
      String key = bucketKey(ConfigurationKeys.ORGANISATIONS, ORGANISATION_BUCKETS, o.id().value());
      buckets.get(key).addOrganisations(BucketCodec.encode(o));
    }
    for (Engine e : sorted(c.engines().values(), e -> e.id().value())) {
      String key = bucketKey(ConfigurationKeys.ENGINES, ENGINE_BUCKETS, e.id().value());
      buckets.get(key).addEngines(BucketCodec.encode(e));
    }
    for (PlainService s : sorted(c.services().values(), s -> s.name().value())) {
      String key = bucketKey(ConfigurationKeys.SERVICES, SERVICE_BUCKETS, s.name().value());
      buckets.get(key).addServices(BucketCodec.encode(s));
    }
    for (DeclaredException e : sorted(c.exceptions(), e -> e.target() + " " + e.setting())) {
      String key = bucketKey(ConfigurationKeys.EXCEPTIONS, EXCEPTION_BUCKETS, e.target());
      buckets.get(key).addExceptions(BucketCodec.encode(e));
    }
    List<Part> parts = new ArrayList<>();
    byte[] defaults = BucketCodec.encode(c.defaults()).toByteArray();
    parts.add(Part.of(ConfigurationKeys.DEFAULTS, Revision.NONE, defaults));
    buckets.forEach((k, b) -> parts.add(Part.of(k, Revision.NONE, b.build().toByteArray())));
    return parts;
  }

  /** Decodes a document; returns an error message if a part is missing or malformed. */
  public static Either<String, FleetConfiguration> decode(Document document) {
    Part defaults = document.parts().get(ConfigurationKeys.DEFAULTS);
    if (defaults == null) {
      return Either.left("entry \"" + ConfigurationKeys.DEFAULTS + "\" is missing");
    }
    String entryName = defaults.name();
    try {
      ConfigurationBuilder builder = new ConfigurationBuilder();
      builder.defaults = BucketCodec.decode(DefaultsValue.parseFrom(defaults.content()));
      for (Part part : document.parts().values()) {
        entryName = part.name();
        if (isBucketKey(entryName)) {
          builder.add(BucketValue.parseFrom(part.content()));
        }
      }
      return Either.right(builder.build(document.revision()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return Either.left("entry \"" + entryName + "\": " + e.getMessage());
    }
  }

  private static boolean isBucketKey(String name) {
    return name.startsWith(ConfigurationKeys.ORGANISATIONS)
        || name.startsWith(ConfigurationKeys.ENGINES)
        || name.startsWith(ConfigurationKeys.SERVICES)
        || name.startsWith(ConfigurationKeys.EXCEPTIONS);
  }

  private static void createBuckets(
      Map<String, BucketValue.Builder> buckets, String prefix, int count) {
    for (int i = 0; i < count; i++) {
      buckets.put(bucketKeyAt(prefix, i), BucketValue.newBuilder());
    }
  }

  private static String bucketKey(String prefix, int count, String name) {
    return bucketKeyAt(prefix, Math.floorMod(name.hashCode(), count));
  }

  private static String bucketKeyAt(String prefix, int number) {
    return prefix + String.format("%02d", number);
  }

  private static <T> List<T> sorted(Iterable<T> values, Function<T, String> name) {
    List<T> list = new ArrayList<>();
    values.forEach(list::add);
    list.sort(Comparator.comparing(name));
    return list;
  }

  /** Collects the declarations of all buckets. */
  private static final class ConfigurationBuilder {
    private final Map<OrganisationId, Organisation> organisations = new HashMap<>();
    private final Map<UpstreamId, Engine> engines = new HashMap<>();
    private final Map<ServiceName, PlainService> services = new HashMap<>();
    private final List<DeclaredException> exceptions = new ArrayList<>();
    private Defaults defaults;

    void add(BucketValue bucket) {
      bucket.getOrganisationsList().stream()
          .map(BucketCodec::decode)
          .forEach(o -> organisations.put(o.id(), o));
      bucket.getEnginesList().stream()
          .map(BucketCodec::decode)
          .forEach(e -> engines.put(e.id(), e));
      bucket.getServicesList().stream()
          .map(BucketCodec::decode)
          .forEach(s -> services.put(s.name(), s));
      bucket.getExceptionsList().stream().map(BucketCodec::decode).forEach(exceptions::add);
    }

    FleetConfiguration build(Revision revision) {
      exceptions.sort(
          Comparator.comparing(DeclaredException::target)
              .thenComparing(DeclaredException::setting));
      return new FleetConfiguration(
          revision, defaults, organisations, engines, services, exceptions);
    }
  }
}
