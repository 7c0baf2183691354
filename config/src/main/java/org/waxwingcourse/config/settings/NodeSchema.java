package org.waxwingcourse.config.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Section;

/** The schema of a node's settings file; docs/SETTINGS.md is its reference. */
public final class NodeSchema {
  static final Field<String> ID = Field.id("id", "Name of the host, unique in the fleet.");
  static final Field<String> DATA_CENTRE =
      Field.id("data_centre", "Name of the data centre in which the host runs.");
  static final Field<String> DATA_FOLDER =
      Field.text("data_folder", "Folder for cached bulk data; omit on hosts without a disk.")
          .optional();
  static final Field<String> TRACE_FILE =
      Field.text("trace_file", "File in which admissions are recorded for replay.").optional();
  static final Section HOST =
      Section.single(
          "host",
          "Identity and local files of the host.",
          ID,
          DATA_CENTRE,
          DATA_FOLDER,
          TRACE_FILE);

  static final Field<InetSocketAddress> CALLERS =
      Field.address("callers", "Address and port on which the host accepts callers.");
  static final Field<URI> CALLER_ADDRESS =
      Field.uri(
              "caller_address",
              "Base address that is advertised to callers; by default derived from \"callers\".")
          .optional();
  static final Field<InetSocketAddress> PEERS =
      Field.address("peers", "Address and port on which the host accepts other hosts.");
  static final Field<InetSocketAddress> OPERATORS =
      Field.address(
          "operators",
          "Address and port that serve metrics and status to operators; not for callers.");
  static final Section LISTEN =
      Section.single(
          "listen",
          "Addresses on which the host listens.",
          CALLERS,
          CALLER_ADDRESS,
          PEERS,
          OPERATORS);

  static final Field<List<URI>> STORE =
      Field.uris("store", "Base addresses of the platform's key-value service.");
  static final Field<URI> HOST_LIST =
      Field.uri("host_list", "Base address of the platform's list of hosts.");
  static final Section PLATFORM =
      Section.single("platform", "Services of the platform.", STORE, HOST_LIST);

  static final Field<String> SECRET_FILE =
      Field.text("secret_file", "File that contains the secret shared by all hosts of the fleet.");
  static final Section FLEET = Section.single("fleet", "Membership in the fleet.", SECRET_FILE);

  static final Field<Integer> HEADER_BYTES =
      Field.integer("header_bytes", 1024, 1 << 20, "Largest request header, bytes.").orElse(16384);
  static final Field<Integer> CONNECTIONS =
      Field.integer("connections", 1, 1_000_000, "Maximum number of open caller connections.")
          .orElse(10_000);
  static final Field<Integer> REQUESTS =
      Field.integer("requests", 1, 1_000_000, "Maximum number of requests in progress.")
          .orElse(5_000);
  static final Field<Integer> REQUEST_BODY_MILLIS =
      Field.integer(
              "request_body_ms",
              100,
              600_000,
              "Time limit for receiving a request body, milliseconds.")
          .orElse(10_000);
  static final Section LIMITS =
      Section.single(
          "limits",
          "Limits on the resources that callers may use.",
          HEADER_BYTES,
          CONNECTIONS,
          REQUESTS,
          REQUEST_BODY_MILLIS);

  private NodeSchema() {}

  /** Returns the sections in the order of the reference page. */
  public static List<Section> sections() {
    return List.of(HOST, LISTEN, PLATFORM, FLEET, LIMITS);
  }
}
