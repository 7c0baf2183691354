package org.waxwingcourse.config.settings;

import static org.waxwingcourse.config.settings.NodeSchema.CALLERS;
import static org.waxwingcourse.config.settings.NodeSchema.CALLER_ADDRESS;
import static org.waxwingcourse.config.settings.NodeSchema.CONNECTIONS;
import static org.waxwingcourse.config.settings.NodeSchema.DATA_CENTRE;
import static org.waxwingcourse.config.settings.NodeSchema.DATA_FOLDER;
import static org.waxwingcourse.config.settings.NodeSchema.FLEET;
import static org.waxwingcourse.config.settings.NodeSchema.HEADER_BYTES;
import static org.waxwingcourse.config.settings.NodeSchema.HOST;
import static org.waxwingcourse.config.settings.NodeSchema.HOST_LIST;
import static org.waxwingcourse.config.settings.NodeSchema.ID;
import static org.waxwingcourse.config.settings.NodeSchema.LIMITS;
import static org.waxwingcourse.config.settings.NodeSchema.LISTEN;
import static org.waxwingcourse.config.settings.NodeSchema.OPERATORS;
import static org.waxwingcourse.config.settings.NodeSchema.PEERS;
import static org.waxwingcourse.config.settings.NodeSchema.PLATFORM;
import static org.waxwingcourse.config.settings.NodeSchema.REQUESTS;
import static org.waxwingcourse.config.settings.NodeSchema.REQUEST_BODY_MILLIS;
import static org.waxwingcourse.config.settings.NodeSchema.SECRET_FILE;
import static org.waxwingcourse.config.settings.NodeSchema.STORE;
import static org.waxwingcourse.config.settings.NodeSchema.TRACE_FILE;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.waxwingcourse.config.toml.CheckedTable;
import org.waxwingcourse.config.toml.Field;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.config.toml.TomlDocument;
import org.waxwingcourse.model.id.DataCentreId;
import org.waxwingcourse.model.id.HostId;

/** Reads a node's settings file; a file with any problem is rejected. */
public final class NodeSettingsReader {
  private static final int MIN_SECRET_CHARACTERS = 16;

  private NodeSettingsReader() {}

  /** Reads and validates the settings and the secret file that they name. */
  public static Either<List<Problem>, NodeSettings> read(Path path) {
    return TomlDocument.read(path, NodeSchema.sections()).flatMap(d -> toSettings(path, d));
  }

  private static Either<List<Problem>, NodeSettings> toSettings(Path path, TomlDocument document) {
    List<Problem> problems = new ArrayList<>(duplicateAddresses(document.table(LISTEN)));
    Either<Problem, NodeSettings.FleetSecret> secret = readSecret(path, document.table(FLEET));
    secret.peekLeft(problems::add);
    return problems.isEmpty()
        ? Either.right(createSettings(document, secret.get()))
        : Either.left(problems);
  }

  private static NodeSettings createSettings(
      TomlDocument document, NodeSettings.FleetSecret secret) {
    CheckedTable host = document.table(HOST);
    CheckedTable listen = document.table(LISTEN);
    CheckedTable platform = document.table(PLATFORM);
    return new NodeSettings(
        HostId.of(host.get(ID)),
        DataCentreId.of(host.get(DATA_CENTRE)),
        host.find(DATA_FOLDER).map(Path::of),
        host.find(TRACE_FILE).map(Path::of),
        listen.get(CALLERS),
        listen.find(CALLER_ADDRESS).getOrElse(() -> defaultCallerAddress(listen.get(CALLERS))),
        listen.get(PEERS),
        listen.get(OPERATORS),
        platform.get(STORE),
        platform.get(HOST_LIST),
        secret,
        createLimits(document.table(LIMITS)));
  }

  private static NodeSettings.Limits createLimits(CheckedTable limits) {
    return new NodeSettings.Limits(
        limits.get(HEADER_BYTES),
        limits.get(CONNECTIONS),
        limits.get(REQUESTS),
        limits.get(REQUEST_BODY_MILLIS));
  }

  private static URI defaultCallerAddress(InetSocketAddress address) {
    return URI.create("http://" + address.getHostString() + ":" + address.getPort());
  }

  private static List<Problem> duplicateAddresses(CheckedTable listen) {
    List<Field<InetSocketAddress>> fields = List.of(CALLERS, PEERS, OPERATORS);
    List<Problem> problems = new ArrayList<>();
    for (int i = 0; i < fields.size(); i++) {
      for (int j = 0; j < i; j++) {
        InetSocketAddress address = listen.get(fields.get(i));
        if (address.getPort() != 0 && address.equals(listen.get(fields.get(j)))) {
          String message =
              "\"%s\" and \"%s\" name the same address; each needs its own port"
                  .formatted(fields.get(j).name(), fields.get(i).name());
          problems.add(listen.problemAt(fields.get(i), message));
        }
      }
    }
    return problems;
  }

  private static Either<Problem, NodeSettings.FleetSecret> readSecret(
      Path path, CheckedTable fleet) {
    Path file = path.toAbsolutePath().resolveSibling(fleet.get(SECRET_FILE));
    try {
      String text = Files.readString(file).strip();
      return text.length() >= MIN_SECRET_CHARACTERS
          ? Either.right(new NodeSettings.FleetSecret(text))
          : Either.left(
              fleet.problemAt(
                  SECRET_FILE,
                  "secret in \""
                      + file.getFileName()
                      + "\" must have at least "
                      + MIN_SECRET_CHARACTERS
                      + " characters"));
    } catch (IOException e) {
      return Either.left(
          fleet.problemAt(SECRET_FILE, "secret file \"" + file + "\" cannot be read"));
    }
  }
}
