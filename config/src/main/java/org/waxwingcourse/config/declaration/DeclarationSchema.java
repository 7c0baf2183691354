package org.waxwingcourse.config.declaration;

import java.net.URI;
import java.util.List;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Section;

/** The names in a declarations file. docs/DECLARATIONS.md lists them. */
public final class DeclarationSchema {
  static final double MAX_RATE = 1_000_000;
  static final int MAX_BURST = 1_000_000;
  static final int MAX_SLOTS = 4096;

  static final Field<Double> RATE =
      Field.positive(
              "rate_per_second",
              MAX_RATE,
              "Requests per second of one organisation over all hosts together.")
          .orElse(50.0);
  static final Field<Integer> BURST =
      Field.integer("burst", 1, MAX_BURST, "Requests of one organisation at once.").orElse(100);
  static final Field<Integer> SLOTS =
      Field.integer("engine_slots", 1, MAX_SLOTS, "Streams that an engine is given at once.")
          .orElse(16);
  static final Field<Integer> ONLINE_TIMEOUT =
      Field.integer(
              "online_timeout_ms",
              100,
              3_600_000,
              "Time from an online request's arrival to its deadline, milliseconds.")
          .orElse(120_000);
  static final Field<Integer> FIRST_TOKEN =
      Field.integer(
              "first_token_ms", 1, 600_000, "Objective: time to the first token, milliseconds.")
          .orElse(1_600);
  static final Field<Integer> BETWEEN_TOKENS =
      Field.integer(
              "between_tokens_ms", 1, 600_000, "Objective: time between tokens, milliseconds.")
          .orElse(58);
  static final Field<Integer> BODY_BYTES =
      Field.integer("body_bytes", 1024, 256 << 20, "Largest request body, bytes.").orElse(8 << 20);
  static final Field<Integer> BATCH_TRIES =
      Field.integer("batch_tries", 1, 100, "Tries of a batch item before it ends with an error.")
          .orElse(3);
  static final Section DEFAULTS =
      Section.single(
          "defaults",
          "What holds for all without an exception.",
          RATE,
          BURST,
          SLOTS,
          ONLINE_TIMEOUT,
          FIRST_TOKEN,
          BETWEEN_TOKENS,
          BODY_BYTES,
          BATCH_TRIES);

  static final Field<String> ID = Field.id("id", "Name, unique among its kind.");
  static final Field<List<String>> KEYS =
      Field.hashes("keys", "Hashes of the keys that work; \"waxwing key new\" makes one.")
          .orElse(List.of());
  static final Section ORGANISATION =
      Section.list("organisation", "An organisation that may send requests.", ID, KEYS);

  static final Field<URI> ADDRESS = Field.uri("address", "Base address of its HTTP interface.");
  static final Field<String> DATA_CENTRE =
      Field.id("data_centre", "Name of the data centre that it stands in.");
  static final Field<List<String>> MODELS = Field.texts("models", "The models that it serves.");
  static final Field<Boolean> CHECKS_FENCING =
      Field.flag("checks_fencing", "Whether it refuses an order with an old fencing number.")
          .orElse(false);
  static final Field<Boolean> LEAVING =
      Field.flag("leaving", "Whether it is to get no new work.").orElse(false);
  static final Section ENGINE =
      Section.list(
          "engine", "A model engine.", ID, ADDRESS, DATA_CENTRE, MODELS, CHECKS_FENCING, LEAVING);

  static final Field<String> NAME = Field.id("name", "Name in the path /services/<name>/.");
  static final Field<List<URI>> ADDRESSES =
      Field.uris("addresses", "Base addresses of its instances.");
  static final Field<Boolean> REPEATABLE =
      Field.flag("repeatable", "Whether a call may be sent more than once.").orElse(false);
  static final Field<Boolean> OPEN = Field.flag("open", "Whether calls need no key.").orElse(false);
  static final Section SERVICE =
      Section.list("service", "A plain service.", NAME, ADDRESSES, REPEATABLE, OPEN);

  static final Field<String> FOR_ORGANISATION =
      Field.id("organisation", "The organisation that departs from a default.").optional();
  static final Field<String> FOR_ENGINE =
      Field.id("engine", "The engine that departs from a default.").optional();
  static final Field<String> SETTING =
      Field.text("setting", "What departs: rate_per_second or burst, for an engine engine_slots.");
  static final Field<String> VALUE = Field.scalar("value", "The value in place of the default.");
  static final Field<String> REASON =
      Field.text("reason", "Why; an exception without a reason is refused.");
  static final Section EXCEPTION =
      Section.list(
          "exception",
          "A departure from a default.",
          FOR_ORGANISATION,
          FOR_ENGINE,
          SETTING,
          VALUE,
          REASON);

  private DeclarationSchema() {}

  /** Returns the sections in the order of the reference page. */
  public static List<Section> sections() {
    return List.of(DEFAULTS, ORGANISATION, ENGINE, SERVICE, EXCEPTION);
  }
}
