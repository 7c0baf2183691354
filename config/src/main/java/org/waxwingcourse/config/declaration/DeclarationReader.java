package org.waxwingcourse.config.declaration;

import static org.waxwingcourse.config.declaration.DeclarationSchema.ADDRESS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ADDRESSES;
import static org.waxwingcourse.config.declaration.DeclarationSchema.BATCH_TRIES;
import static org.waxwingcourse.config.declaration.DeclarationSchema.BETWEEN_TOKENS_MILLIS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.BODY_BYTES;
import static org.waxwingcourse.config.declaration.DeclarationSchema.BURST;
import static org.waxwingcourse.config.declaration.DeclarationSchema.CHECKS_FENCING;
import static org.waxwingcourse.config.declaration.DeclarationSchema.DATA_CENTRE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.DEFAULTS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ENGINE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ENGINE_SLOTS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.EXCEPTION;
import static org.waxwingcourse.config.declaration.DeclarationSchema.FIRST_TOKEN_MILLIS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ID;
import static org.waxwingcourse.config.declaration.DeclarationSchema.KEYS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.LEAVING;
import static org.waxwingcourse.config.declaration.DeclarationSchema.MODELS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.NAME;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ONLINE_TIMEOUT_MILLIS;
import static org.waxwingcourse.config.declaration.DeclarationSchema.OPEN;
import static org.waxwingcourse.config.declaration.DeclarationSchema.ORGANISATION;
import static org.waxwingcourse.config.declaration.DeclarationSchema.RATE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.REPEATABLE;
import static org.waxwingcourse.config.declaration.DeclarationSchema.SERVICE;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.waxwingcourse.config.toml.CheckedTable;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.config.toml.Section;
import org.waxwingcourse.config.toml.TomlDocument;
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

/** Reads a declarations file and applies its exceptions; a file with any problem is rejected. */
public final class DeclarationReader {
  private static final String HASH_PREFIX = "sha256:";

  private final TomlDocument document;
  private final List<Problem> problems = new ArrayList<>();
  private final ExceptionTables exceptions;

  private DeclarationReader(TomlDocument document) {
    this.document = document;
    this.exceptions = ExceptionTables.of(document.tables(EXCEPTION));
  }

  /** Reads and validates a file. */
  public static Either<List<Problem>, FleetConfiguration> read(Path path) {
    return TomlDocument.read(path, DeclarationSchema.sections())
        .flatMap(DeclarationReader::toConfiguration);
  }

  /** Parses and validates the text of {@code file}. */
  public static Either<List<Problem>, FleetConfiguration> parse(String file, String text) {
    return TomlDocument.parse(file, text, DeclarationSchema.sections())
        .flatMap(DeclarationReader::toConfiguration);
  }

  private static Either<List<Problem>, FleetConfiguration> toConfiguration(TomlDocument document) {
    DeclarationReader reader = new DeclarationReader(document);
    reader.checkUniqueNames();
    reader.checkUniqueKeys();
    reader.problems.addAll(
        reader.exceptions.validate(
            reader.indexByName(ORGANISATION, ID).keySet(),
            reader.indexByName(ENGINE, ID).keySet()));
    return reader.problems.isEmpty()
        ? Either.right(reader.createConfiguration())
        : Either.left(reader.problems.stream().sorted().toList());
  }

  private void checkUniqueNames() {
    indexByName(ORGANISATION, ID);
    indexByName(ENGINE, ID);
    indexByName(SERVICE, NAME);
  }

  private Map<String, CheckedTable> indexByName(Section section, Field<String> field) {
    Map<String, CheckedTable> byName = new HashMap<>();
    for (CheckedTable table : document.tables(section)) {
      String name = table.get(field);
      if (byName.put(name, table) != null) {
        String message = section.name() + " \"" + name + "\" is declared twice";
        addIfAbsent(table.problemAt(field, message));
      }
    }
    return byName;
  }

  private void checkUniqueKeys() {
    Set<String> seen = new HashSet<>();
    for (CheckedTable table : document.tables(ORGANISATION)) {
      for (String key : table.get(KEYS)) {
        if (!seen.add(key)) {
          addIfAbsent(table.problemAt(KEYS, "key " + key.substring(0, 15) + "… is declared twice"));
        }
      }
    }
  }

  private void addIfAbsent(Problem problem) {
    if (!problems.contains(problem)) {
      problems.add(problem);
    }
  }

  private FleetConfiguration createConfiguration() {
    Defaults defaults = readDefaults(document.table(DEFAULTS));
    return new FleetConfiguration(
        Revision.NONE,
        defaults,
        indexSection(ORGANISATION, t -> readOrganisation(t, defaults), Organisation::id),
        indexSection(ENGINE, t -> readEngine(t, defaults), Engine::id),
        indexSection(SERVICE, DeclarationReader::readService, PlainService::name),
        exceptions.toDeclaredExceptions());
  }

  private <K, V> Map<K, V> indexSection(
      Section section, Function<CheckedTable, V> reader, Function<V, K> key) {
    return document.tables(section).stream().map(reader).collect(Collectors.toMap(key, v -> v));
  }

  private static Defaults readDefaults(CheckedTable table) {
    return new Defaults(
        Rate.of(table.get(RATE), table.get(BURST)),
        table.get(ENGINE_SLOTS),
        Duration.ofMillis(table.get(ONLINE_TIMEOUT_MILLIS)),
        Duration.ofMillis(table.get(FIRST_TOKEN_MILLIS)),
        Duration.ofMillis(table.get(BETWEEN_TOKENS_MILLIS)),
        table.get(BODY_BYTES),
        table.get(BATCH_TRIES));
  }

  private Organisation readOrganisation(CheckedTable table, Defaults defaults) {
    String id = table.get(ID);
    Rate rate = exceptions.effectiveRate(id, defaults.rate());
    Set<KeyHash> keys =
        table.get(KEYS).stream()
            .map(k -> KeyHash.of(k.substring(HASH_PREFIX.length())))
            .collect(Collectors.toSet());
    return new Organisation(OrganisationId.of(id), rate, keys);
  }

  private Engine readEngine(CheckedTable table, Defaults defaults) {
    String id = table.get(ID);
    return new Engine(
        UpstreamId.of(id),
        table.get(ADDRESS),
        DataCentreId.of(table.get(DATA_CENTRE)),
        table.get(MODELS).stream().map(ModelName::of).collect(Collectors.toSet()),
        exceptions.effectiveSlots(id, defaults.engineSlots()),
        table.get(CHECKS_FENCING),
        table.get(LEAVING));
  }

  private static PlainService readService(CheckedTable table) {
    return new PlainService(
        ServiceName.of(table.get(NAME)),
        table.get(ADDRESSES),
        table.get(REPEATABLE),
        table.get(OPEN));
  }
}
