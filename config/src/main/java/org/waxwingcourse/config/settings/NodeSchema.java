package org.waxwingcourse.config.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Section;

/** The names in a node's settings file. docs/SETTINGS.md lists them. */
public final class NodeSchema {
  static final Field<String> ID = Field.id("id", "Name of the host, unique in the fleet.");
  static final Field<String> DATA_CENTRE =
      Field.id("data_centre", "Name of the data centre that the host stands in.");
  static final Field<String> DATA_FOLDER =
      Field.text("data_folder", "Folder for cached bulk data; leave out on hosts without a disk.")
          .optional();
  static final Field<String> TRACE_FILE =
      Field.text("trace_file", "File that admissions are recorded in, for replay.").optional();
  static final Section HOST =
      Section.single("host", "The host.", ID, DATA_CENTRE, DATA_FOLDER, TRACE_FILE);

  static final Field<InetSocketAddress> CALLERS =
      Field.address("callers", "Where callers connect.");
  static final Field<URI> CALLER_ADDRESS =
      Field.uri("caller_address", "Base address that callers are told; else made of \"callers\".")
          .optional();
  static final Field<InetSocketAddress> PEERS =
      Field.address("peers", "Where other hosts connect.");
  static final Field<InetSocketAddress> OPERATORS =
      Field.address("operators", "Where metrics and status are read; not for callers.");
  static final Section LISTEN =
      Section.single("listen", "The host's addresses.", CALLERS, CALLER_ADDRESS, PEERS, OPERATORS);

  static final Field<List<URI>> STORE =
      Field.uris("store", "Base addresses of the platform's key-value service.");
  static final Field<URI> HOST_LIST =
      Field.uri("host_list", "Base address of the platform's list of hosts.");
  static final Section PLATFORM =
      Section.single("platform", "What the platform gives.", STORE, HOST_LIST);

  static final Field<String> SECRET_FILE =
      Field.text("secret_file", "File with the secret that all hosts of the fleet share.");
  static final Section FLEET = Section.single("fleet", "The fleet.", SECRET_FILE);

  static final Field<Integer> HEADER_BYTES =
      Field.integer("header_bytes", 1024, 1 << 20, "Largest request header, bytes.").orElse(16384);
  static final Field<Integer> CONNECTIONS =
      Field.integer("connections", 1, 1_000_000, "Open caller connections.").orElse(10_000);
  static final Field<Integer> REQUESTS =
      Field.integer("requests", 1, 1_000_000, "Requests in progress.").orElse(5_000);
  static final Field<Integer> BODY_MILLIS =
      Field.integer(
              "request_body_ms",
              100,
              600_000,
              "Time in which a request's body must arrive, milliseconds.")
          .orElse(10_000);
  static final Section LIMITS =
      Section.single(
          "limits",
          "Bounds on what callers may cost.",
          HEADER_BYTES,
          CONNECTIONS,
          REQUESTS,
          BODY_MILLIS);

  private NodeSchema() {}

  /** Returns the sections in the order of the reference page. */
  public static List<Section> sections() {
    return List.of(HOST, LISTEN, PLATFORM, FLEET, LIMITS);
  }
}
