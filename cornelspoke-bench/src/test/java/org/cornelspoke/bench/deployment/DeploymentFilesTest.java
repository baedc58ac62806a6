package org.cornelspoke.bench.deployment;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.cornelspoke.bench.load.LoadPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a deployment that differs in size from the requirements or shares an address. */
class DeploymentFilesTest {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  @TempDir private Path folder;

  @ParameterizedTest
  @CsvSource({"cooperative, 13, 2840", "softwarehouse, 12, 723"})
  void hasTheSizesOfTheRequirements(String name, int targets, int slots) throws IOException {
    write(name);

    assertThat(Files.readAllLines(folder.resolve("edges"))).hasSize(targets);
    int sum = 0;
    for (ServiceSpec service : DeploymentSpec.named(name).services()) {
      for (JsonNode upstream : json("upstream-" + service.name() + ".json")) {
        sum += upstream.at("/behaviour/slots").asInt();
      }
    }
    assertThat(sum).isEqualTo(slots);
    assertThat(DeploymentSpec.named(name).accounts()).hasSize(8);
    assertThat(Files.readAllLines(folder.resolve("ctl-keys"))).hasSize(16);
  }

  @Test
  void everyAddressIsListenedOnOnce() throws IOException {
    write("cooperative");

    List<String> listening = new ArrayList<>();
    for (String line : Files.readAllLines(folder.resolve("processes.tsv"))) {
      String[] fields = line.split("\t", -1);
      JsonNode file = json(fields[1] + ".json");
      if (fields[0].equals("upstream")) {
        file.forEach(
            upstream -> {
              listening.add(upstream.get("address").asText());
              listening.add(upstream.get("controlAddress").asText());
            });
      } else {
        file.properties()
            .forEach(
                field -> {
                  if (field.getKey().endsWith("Address")) {
                    listening.add(field.getValue().asText());
                  }
                });
      }
    }
    assertThat(listening).hasSize(3 * 3 + 13 * 6);
    assertThat(new HashSet<>(listening)).hasSize(listening.size());
  }

  @Test
  void controlDaemonsKnowTheOthersAndTheTokenIsNotInTheirSettings() throws IOException {
    write("softwarehouse");

    JsonNode first = json("control-1.json");
    assertThat(first.get("peers").findValuesAsText("vmId"))
        .containsExactly("control-2", "control-3");
    String token = Files.readString(folder.resolve("operator-token")).strip();
    assertThat(Files.readString(folder.resolve("control-1.json"))).doesNotContain(token);
  }

  @Test
  void theLoadUsesTheKeysOfTheFolder() throws IOException {
    write("cooperative");
    DeploymentSpec spec = DeploymentSpec.named("cooperative");
    Files.createDirectories(folder.resolve("keys"));
    DeploymentLoad load = new DeploymentLoad(spec, folder);
    assertThrows(IllegalArgumentException.class, () -> load.plan("r", 1, 9000, 1));
    for (AccountSpec account : spec.accounts()) {
      Files.writeString(
          folder.resolve("keys/" + account.id() + "-1.json"),
          "{\"id\": \""
              + account.id()
              + "-1\", \"account\": \""
              + account.id()
              + "\", \"key\": \"k\"}");
    }

    LoadPlan plan = load.plan("r", 1, 9000, 1);

    assertThat(plan.accounts()).hasSize(8);
    assertThat(plan.edges()).hasSize(13);
    assertThat(plan.routes().stream().map(LoadPlan.CalledRoute::name).toList())
        .doesNotContain("rules");
  }

  @Test
  void refusesAnUnknownName() {
    assertThrows(IllegalArgumentException.class, () -> DeploymentSpec.named("other"));
  }

  private void write(String name) throws IOException {
    new DeploymentFiles(DeploymentSpec.named(name), folder, 2, new Random(5)).write();
  }

  private JsonNode json(String file) throws IOException {
    return MAPPER.readTree(folder.resolve(file).toFile());
  }
}
