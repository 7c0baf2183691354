package org.waxwingcourse.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.waxwingcourse.config.declaration.DeclarationReader;
import org.waxwingcourse.config.settings.NodeSettings;
import org.waxwingcourse.config.settings.NodeSettingsReader;
import org.waxwingcourse.config.toml.Problem;
import org.waxwingcourse.model.fleet.FleetConfiguration;
import org.waxwingcourse.model.fleet.Rate;
import org.waxwingcourse.model.id.OrganisationId;

/** Each line of the resources replaces one text of a valid file and names the expected problem. */
class InvalidFilesTest {
  private static final String SETTINGS =
      """
      [host]
      id = "host-1"
      data_centre = "nile-1"
      [listen]
      callers = "127.0.0.1:8001"
      peers = "127.0.0.1:7001"
      operators = "127.0.0.1:9001"
      # the platform
      [platform]
      store = ["http://127.0.0.1:2379"]
      host_list = "http://127.0.0.1:2379"
      [fleet]
      secret_file = "fleet.secret"
      [limits]
      connections = 100
      """;
  private static final String DECLARATIONS =
      """
      [defaults]
      rate_per_second = 10
      burst = 20
      [[organisation]]
      id = "parish"
      keys = []
      [[organisation]]
      id = "voicer"
      [[engine]]
      id = "engine-1"
      address = "http://127.0.0.1:9101"
      data_centre = "nile-1"
      models = ["organ-scribe"]
      [[exception]]
      organisation = "parish"
      setting = "burst"
      value = 500
      reason = "Opens before the market"
      """;

  @TempDir Path folder;

  record InvalidCase(String name, String original, String replacement, String expectedProblem) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<InvalidCase> settingsCases() throws IOException {
    return readCases("refused-settings.txt");
  }

  static Stream<InvalidCase> declarationCases() throws IOException {
    return readCases("refused-declarations.txt");
  }

  @ParameterizedTest
  @MethodSource("settingsCases")
  void rejectsInvalidSettings(InvalidCase testCase) throws IOException {
    Either<List<Problem>, NodeSettings> read = readSettings(replaceText(SETTINGS, testCase));
    assertThat(read.getLeft())
        .first()
        .asString()
        .contains("node.toml:" + testCase.expectedProblem());
  }

  @ParameterizedTest
  @MethodSource("declarationCases")
  void rejectsInvalidDeclarations(InvalidCase testCase) {
    Either<List<Problem>, FleetConfiguration> read =
        DeclarationReader.parse("fleet.toml", replaceText(DECLARATIONS, testCase));
    assertThat(read.getLeft()).first().asString().contains(testCase.expectedProblem());
  }

  @Test
  void readsValidFiles() throws IOException {
    assertThat(readSettings(SETTINGS).get().secret()).hasToString("(secret)");
    FleetConfiguration fleet = DeclarationReader.parse("fleet.toml", DECLARATIONS).get();
    assertThat(fleet.organisations().get(OrganisationId.of("parish")).rate())
        .isEqualTo(Rate.of(10, 500));
    assertThat(fleet.organisations().get(OrganisationId.of("voicer")).rate())
        .isEqualTo(Rate.of(10, 20));
  }

  private Either<List<Problem>, NodeSettings> readSettings(String text) throws IOException {
    Files.writeString(folder.resolve("fleet.secret"), "0123456789abcdef");
    Path file = Files.writeString(folder.resolve("node.toml"), text);
    return NodeSettingsReader.read(file);
  }

  private static String replaceText(String original, InvalidCase testCase) {
    assertThat(original).contains(testCase.original());
    return original.replaceFirst(
        java.util.regex.Pattern.quote(testCase.original()), testCase.replacement());
  }

  private static Stream<InvalidCase> readCases(String file) throws IOException {
    return Files.readAllLines(Path.of("src", "test", "resources", file)).stream()
        .filter(line -> !line.startsWith("#"))
        .map(line -> line.split("\\|", -1))
        .map(
            columns ->
                new InvalidCase(
                    columns[0].strip(),
                    columns[1].strip(),
                    columns[2].strip().replace("\\n", "\n"),
                    columns[3].strip()));
  }
}
