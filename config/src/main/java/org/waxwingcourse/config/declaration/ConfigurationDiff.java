package org.waxwingcourse.config.declaration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.Function;
import org.waxwingcourse.model.fleet.DeclaredException;
import org.waxwingcourse.model.fleet.Engine;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Organisation;
import org.waxwingcourse.model.fleet.PlainService;
import org.waxwingcourse.model.id.Revision;

/** Describes the differences between two configurations in text; key hashes are abbreviated. */
public final class ConfigurationDiff {
  private final List<String> lines = new ArrayList<>();

  private ConfigurationDiff() {}

  /** Returns a line for each declaration of a configuration that replaces none. */
  public static List<String> fromEmpty(FleetConfiguration after) {
    FleetConfiguration empty =
        new FleetConfiguration(
            Revision.NONE, after.defaults(), Map.of(), Map.of(), Map.of(), List.of());
    return between(empty, after);
  }

  /** Returns a line for each declaration that is added (+), removed (-) or changed (~). */
  public static List<String> between(FleetConfiguration before, FleetConfiguration after) {
    ConfigurationDiff diff = new ConfigurationDiff();
    diff.addDifference("defaults", before.defaults(), after.defaults(), Objects::toString);
    diff.addDifferences(
        "organisation", before.organisations(), after.organisations(), ConfigurationDiff::describe);
    diff.addDifferences("engine", before.engines(), after.engines(), ConfigurationDiff::describe);
    diff.addDifferences(
        "service", before.services(), after.services(), ConfigurationDiff::describe);
    diff.addExceptionDifferences(before, after);
    return List.copyOf(diff.lines);
  }

  private <V> void addDifference(String name, V before, V after, Function<V, String> describe) {
    if (Objects.equals(before, after)) {
      return;
    }
    if (before == null) {
      lines.add("+ " + name + " " + describe.apply(after));
    } else if (after == null) {
      lines.add("- " + name + " " + describe.apply(before));
    } else {
      lines.add("~ " + name + " " + describe.apply(before) + " -> " + describe.apply(after));
    }
  }

  private <K extends Comparable<K>, V> void addDifferences(
      String kind, Map<K, V> before, Map<K, V> after, Function<V, String> describe) {
    TreeSet<K> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    names.forEach(
        name ->
            addDifference(kind + " \"" + name + "\"", before.get(name), after.get(name), describe));
  }

  private void addExceptionDifferences(FleetConfiguration before, FleetConfiguration after) {
    after.exceptions().stream()
        .filter(e -> !before.exceptions().contains(e))
        .forEach(e -> lines.add("+ " + describe(e)));
    before.exceptions().stream()
        .filter(e -> !after.exceptions().contains(e))
        .forEach(e -> lines.add("- " + describe(e)));
  }

  private static String describe(Organisation organisation) {
    return "rate "
        + organisation.rate().perSecond()
        + "/s burst "
        + organisation.rate().burst()
        + " keys "
        + organisation.keys().stream().map(Objects::toString).sorted().toList();
  }

  private static String describe(Engine engine) {
    return engine.address()
        + " in "
        + engine.dataCentre()
        + " models "
        + engine.models().stream().sorted().toList()
        + " slots "
        + engine.slots()
        + (engine.leaving() ? " leaving" : "");
  }

  private static String describe(PlainService service) {
    return service.addresses()
        + (service.repeatable() ? " repeatable" : " not repeatable")
        + (service.open() ? " open" : " keyed");
  }

  private static String describe(DeclaredException exception) {
    return "exception for %s: %s = %s, because: %s"
        .formatted(exception.target(), exception.setting(), exception.value(), exception.reason());
  }
}
