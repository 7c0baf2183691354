package org.waxwingcourse.config.declaration;

import java.net.URI;
import java.util.List;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Section;

/** The schema of a declarations file; docs/DECLARATIONS.md is its reference. */
public final class DeclarationSchema {
  static final double MAX_RATE_PER_SECOND = 1_000_000;
  static final int MAX_BURST = 1_000_000;
  static final int MAX_SLOTS = 4096;

  static final Field<Double> RATE =
      Field.positive(
              "rate_per_second",
              MAX_RATE_PER_SECOND,
              "Request rate of one organisation over all hosts, requests per second.")
          .orElse(50.0);
  static final Field<Integer> BURST =
      Field.integer("burst", 1, MAX_BURST, "Largest burst of one organisation, requests.")
          .orElse(100);
  static final Field<Integer> ENGINE_SLOTS =
      Field.integer(
              "engine_slots", 1, MAX_SLOTS, "Maximum number of concurrent streams of one engine.")
          .orElse(16);
  static final Field<Integer> ONLINE_TIMEOUT_MILLIS =
      Field.integer(
              "online_timeout_ms",
              100,
              3_600_000,
              "Time from an online request's arrival to its deadline, milliseconds.")
          .orElse(120_000);
  static final Field<Integer> FIRST_TOKEN_MILLIS =
      Field.integer(
              "first_token_ms", 1, 600_000, "Objective: time to the first token, milliseconds.")
          .orElse(1_600);
  static final Field<Integer> BETWEEN_TOKENS_MILLIS =
      Field.integer(
              "between_tokens_ms", 1, 600_000, "Objective: time between tokens, milliseconds.")
          .orElse(58);
  static final Field<Integer> BODY_BYTES =
      Field.integer("body_bytes", 1024, 256 << 20, "Largest request body, bytes.").orElse(8 << 20);
  static final Field<Integer> BATCH_TRIES =
      Field.integer("batch_tries", 1, 100, "Attempts at a batch item before it ends with an error.")
          .orElse(3);
  static final Section DEFAULTS =
      Section.single(
          "defaults",
          "Values that apply unless an exception overrides them.",
          RATE,
          BURST,
          ENGINE_SLOTS,
          ONLINE_TIMEOUT_MILLIS,
          FIRST_TOKEN_MILLIS,
          BETWEEN_TOKENS_MILLIS,
          BODY_BYTES,
          BATCH_TRIES);

  static final Field<String> ID = Field.id("id", "Name, unique within this section.");
  static final Field<List<String>> KEYS =
      Field.hashes(
              "keys",
              "Hashes of the valid API keys; \"waxwing key new\" creates a key and its hash.")
          .orElse(List.of());
  static final Section ORGANISATION =
      Section.list("organisation", "An organisation that may send requests.", ID, KEYS);

  static final Field<URI> ADDRESS =
      Field.uri("address", "Base address of the engine's HTTP interface.");
  static final Field<String> DATA_CENTRE =
      Field.id("data_centre", "Name of the data centre in which the engine runs.");
  static final Field<List<String>> MODELS = Field.texts("models", "Models that the engine serves.");
  static final Field<Boolean> CHECKS_FENCING =
      Field.flag(
              "checks_fencing",
              "Whether the engine rejects an order with an outdated fencing number.")
          .orElse(false);
  static final Field<Boolean> LEAVING =
      Field.flag("leaving", "Whether the engine receives no new work.").orElse(false);
  static final Section ENGINE =
      Section.list(
          "engine", "A model engine.", ID, ADDRESS, DATA_CENTRE, MODELS, CHECKS_FENCING, LEAVING);

  static final Field<String> NAME = Field.id("name", "Name in the path /services/<name>/.");
  static final Field<List<URI>> ADDRESSES =
      Field.uris("addresses", "Base addresses of the service's instances.");
  static final Field<Boolean> REPEATABLE =
      Field.flag("repeatable", "Whether a call may be sent more than once.").orElse(false);
  static final Field<Boolean> OPEN =
      Field.flag("open", "Whether calls need no API key.").orElse(false);
  static final Section SERVICE =
      Section.list("service", "A plain service.", NAME, ADDRESSES, REPEATABLE, OPEN);

  static final Field<String> EXCEPTION_ORGANISATION =
      Field.id("organisation", "Organisation to which the exception applies.").optional();
  static final Field<String> EXCEPTION_ENGINE =
      Field.id("engine", "Engine to which the exception applies.").optional();
  static final Field<String> SETTING =
      Field.text(
          "setting",
          "Setting to override: rate_per_second, burst or, for an engine, engine_slots.");
  static final Field<String> VALUE = Field.scalar("value", "Value that replaces the default.");
  static final Field<String> REASON =
      Field.text("reason", "Reason for the exception; an exception without a reason is rejected.");
  static final Section EXCEPTION =
      Section.list(
          "exception",
          "A value that overrides a default for one organisation or engine.",
          EXCEPTION_ORGANISATION,
          EXCEPTION_ENGINE,
          SETTING,
          VALUE,
          REASON);

  private DeclarationSchema() {}

  /** Returns the sections in the order of the reference page. */
  public static List<Section> sections() {
    return List.of(DEFAULTS, ORGANISATION, ENGINE, SERVICE, EXCEPTION);
  }
}
