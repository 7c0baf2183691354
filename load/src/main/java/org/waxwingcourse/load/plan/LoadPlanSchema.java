package org.waxwingcourse.load.plan;

import java.net.URI;
import java.util.List;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Section;

/** The tables and fields of a load plan. docs/operate/load.md documents them. */
public final class LoadPlanSchema {
  private static final int MAX_SECONDS = 86_400;
  private static final int MAX_MILLIS = 86_400_000;
  private static final int MAX_TOKENS = 100_000;
  private static final double MAX_REQUESTS_PER_SECOND = 100_000;

  static final Field<Integer> SEED =
      Field.integer("seed", 0, Integer.MAX_VALUE, "Seed of arrivals, prompts and host choice.")
          .orElse(1);
  static final Field<Integer> DURATION_SECONDS =
      Field.integer("duration_seconds", 1, MAX_SECONDS, "How long requests arrive.");
  static final Field<Integer> DRAIN_SECONDS =
      Field.integer("drain_seconds", 0, MAX_SECONDS, "How long to wait for answers afterwards.")
          .orElse(30);
  static final Field<List<URI>> HOSTS =
      Field.uris("hosts", "Base addresses to ask which hosts to use.");
  static final Field<String> MODEL = Field.text("model", "The model to name in requests.");
  static final Field<Integer> REQUEST_TIMEOUT_MS =
      Field.integer("request_timeout_ms", 1, MAX_MILLIS, "How long to wait for a whole answer.")
          .orElse(120_000);
  static final Field<Integer> RETRIES =
      Field.integer("retries", 0, 100, "How often a refused request is sent again.").orElse(0);
  static final Field<Boolean> CHECK_ANSWERS =
      Field.flag("check_answers", "Whether answers must be the engine stand-in's own.")
          .orElse(false);
  static final Section LOAD =
      Section.single(
          "load",
          "The run.",
          SEED,
          DURATION_SECONDS,
          DRAIN_SECONDS,
          HOSTS,
          MODEL,
          REQUEST_TIMEOUT_MS,
          RETRIES,
          CHECK_ANSWERS);

  static final Field<String> NAME = Field.id("name", "The organisation.");
  static final Field<String> KEY = Field.text("key", "Its key.");
  static final Field<Double> OFFERED_PER_SECOND =
      Field.positive(
          "offered_per_second", MAX_REQUESTS_PER_SECOND, "Mean of its Poisson arrivals.");
  static final Field<Double> RATE_PER_SECOND =
      Field.positive(
          "rate_per_second", MAX_REQUESTS_PER_SECOND, "The rate that it is entitled to.");
  static final Field<Integer> BURST =
      Field.integer("burst", 1, 1_000_000, "The burst that it is entitled to, requests.");
  static final Field<Integer> PROMPT_TOKENS =
      Field.integer("prompt_tokens", 1, MAX_TOKENS, "Words in a prompt.").orElse(200);
  static final Field<Integer> SHARED_TOKENS =
      Field.integer("shared_tokens", 0, MAX_TOKENS, "Words that prompts of one prefix share.")
          .orElse(128);
  static final Field<Integer> PREFIXES =
      Field.integer("prefixes", 1, MAX_TOKENS, "Number of different prefixes.").orElse(4);
  static final Field<Integer> OUTPUT_TOKENS =
      Field.integer("output_tokens", 1, MAX_TOKENS, "Tokens asked for.").orElse(32);
  static final Field<Integer> STREAMED_PERCENT =
      Field.integer("streamed_percent", 0, 100, "Share of streamed requests.").orElse(100);
  static final Section ORGANISATION =
      Section.list(
          "organisation",
          "Who sends what.",
          NAME,
          KEY,
          OFFERED_PER_SECOND,
          RATE_PER_SECOND,
          BURST,
          PROMPT_TOKENS,
          SHARED_TOKENS,
          PREFIXES,
          OUTPUT_TOKENS,
          STREAMED_PERCENT);

  static final Field<String> TARGET_ORGANISATION = Field.id("organisation", "Whose it is.");
  static final Field<Integer> AT_MS =
      Field.integer("at_ms", 0, MAX_MILLIS, "When, counted from the start of the run.");
  static final Field<Integer> LENGTH_MS =
      Field.integer("length_ms", 1, MAX_MILLIS, "How long it lasts.");
  static final Field<Double> FACTOR =
      Field.positive("factor", 1000, "How many times the usual load.");
  static final Section SURGE =
      Section.list(
          "surge", "A span of higher load.", TARGET_ORGANISATION, AT_MS, LENGTH_MS, FACTOR);

  static final Field<Integer> ITEMS = Field.integer("items", 1, 280_000, "Number of items.");
  static final Section BATCH =
      Section.list("batch", "A batch job.", TARGET_ORGANISATION, AT_MS, ITEMS, OUTPUT_TOKENS);

  static final Field<URI> ADDRESS = Field.uri("address", "Where to POST the control call.");
  static final Field<String> BODY = Field.text("body", "The JSON to send.").orElse("{}");
  static final Section FAULT =
      Section.list("fault", "A control call to a stand-in.", AT_MS, ADDRESS, BODY);

  private LoadPlanSchema() {}

  /** Returns the sections in the order of the documentation page. */
  public static List<Section> sections() {
    return List.of(LOAD, ORGANISATION, SURGE, BATCH, FAULT);
  }
}
