package org.cornelspoke.ctl;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cornelspoke.ctl.ToolRunner.Result;
import org.cornelspoke.daemon.admin.AdminServerFixture;
import org.cornelspoke.daemon.admin.AttachedDaemons.DaemonStatus;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.quarantine.CrashReport;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs every command against a real administration server with an in-memory backend. */
class CommandsTest {

  private AdminServerFixture server;
  private ToolRunner tool;

  @BeforeEach
  void start() throws Exception {
    server = new AdminServerFixture();
    tool = new ToolRunner(server.endpoint());
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  /** Guards against account commands that lose or overwrite a limit. */
  @Test
  void managesAccounts() throws Exception {
    Result created = tool.run("account create fair --rate 10.5 --burst 20");
    assertThat(created.exitCode()).isEqualTo(0);
    assertThat(created.out()).isEqualTo("account fair created (revision 5)\n");
    tool.run("account create a --rate 1200 --burst 2400 --weight 3");
    assertThat(tool.run("account list").out())
        .isEqualTo(
            """
            ACCOUNT  RATE/S  BURST  WEIGHT  REVISION
            a          1200   2400       3         6
            fair       10.5     20       1         5
            """);
    assertThat(tool.run("account set a --burst 50").exitCode()).isEqualTo(0);
    JsonNode shown = tool.run("account show a --json").json();
    assertThat(shown.path("rateTokensPerSecond").asInt()).isEqualTo(1200);
    assertThat(shown.path("burstTokens").asInt()).isEqualTo(50);
    assertThat(shown.path("weight").asInt()).isEqualTo(3);
    assertThat(tool.run("account delete a").exitCode()).isEqualTo(0);
    assertThat(tool.run("account show a").exitCode()).isEqualTo(1);
  }

  /**
   * Guards against a printed key that differs from the stored one and a withdrawn key that stays.
   */
  @Test
  void managesKeys() throws Exception {
    tool.run("account create fair --rate 10 --burst 20");
    JsonNode given = tool.run("key give fair --key-id k1 --json").json();
    assertThat(given.path("key").asText()).matches("csk_[A-Za-z0-9_-]{43}");
    JsonNode keys = tool.run("key list --account fair --json").json().path("keys");
    assertThat(keys.get(0).path("keyHashHex").asText())
        .isEqualTo(SecretGenerator.sha256Hex(given.path("key").asText()));
    assertThat(tool.run("key give fair").out()).containsMatch("key fair-[0-9a-f]{8} given");
    assertThat(tool.run("account show fair").out()).contains("k1");
    assertThat(tool.run("key withdraw k1").exitCode()).isEqualTo(0);
    assertThat(tool.run("key list").out()).doesNotContain("k1");
  }

  /** Guards against preset commands that change a setting which was not named. */
  @Test
  void managesPresets(@TempDir Path folder) throws Exception {
    String changed = "preset set fair --from ordinary --set retryRatio=0.2 --set ";
    assertThat(tool.run(changed + "classes.BULK.refused=true").exitCode()).isEqualTo(0);
    Result shown = tool.run("preset show fair --json");
    assertThat(shown.json().path("retryRatio").asDouble()).isEqualTo(0.2);
    assertThat(shown.json().at("/classes/BULK/refused").asBoolean()).isTrue();
    assertThat(shown.json().at("/classes/CRITICAL/refused").asBoolean()).isFalse();
    assertThat(shown.json().path("retryBudget").asInt()).isEqualTo(2);
    assertThat(tool.run("preset set fair --set retryBudget=3").exitCode()).isEqualTo(0);
    Path file = Files.writeString(folder.resolve("preset.json"), shown.out());
    assertThat(tool.run("preset set copy --file " + file).exitCode()).isEqualTo(0);
    assertThat(tool.run("preset show copy").out()).contains("BULK");
    assertThat(tool.run("preset use copy").exitCode()).isEqualTo(0);
    assertThat(tool.run("preset list").out()).containsMatch("copy .* yes\n");
    assertThat(tool.run("preset list --json").json().path("presetInForce").asText())
        .isEqualTo("copy");
    assertThat(tool.run("preset set fair --set retryRatoi=0.2").exitCode()).isEqualTo(2);
    assertThat(tool.run("preset set fair --set retryRatio=7").exitCode()).isEqualTo(1);
    assertThat(tool.run("preset set fair").exitCode()).isEqualTo(2);
  }

  /**
   * Guards against an order that is refused when repeated, or that names an unknown data centre.
   */
  @Test
  void evacuatesAndRestoresDataCentres() throws Exception {
    server.onBackend(
        backend ->
            backend.daemons =
                List.of(
                    new DaemonStatus(
                        new DaemonId("d1"),
                        new DataCentreId("pampanga"),
                        new Revision(1),
                        10,
                        new VmId("control-1"))));
    assertThat(tool.run("data-centre list").out()).doesNotContain("pampanga");
    Result evacuated = tool.run("data-centre evacuate pampanga");
    assertThat(evacuated.out()).isEqualTo("data centre pampanga evacuated (revision 5)\n");
    assertThat(tool.run("data-centre evacuate pampanga").exitCode()).isEqualTo(0);
    assertThat(tool.run("data-centre list").out()).containsMatch("pampanga +[0-9-]+T[0-9:.]+Z");
    assertThat(tool.run("data-centre list --json").json().path("evacuations")).hasSize(1);
    assertThat(tool.run("data-centre restore pampanga").exitCode()).isEqualTo(0);
    assertThat(tool.run("data-centre restore pampanga").exitCode()).isEqualTo(0);
    assertThat(tool.run("data-centre list").out()).doesNotContain("pampanga");
    assertThat(tool.run("data-centre evacuate nowhere").exitCode()).isEqualTo(1);
    assertThat(tool.run("data-centre evacuate").exitCode()).isEqualTo(2);
  }

  /** Guards against requests that stay refused because an operator can't find or release them. */
  @Test
  void listsAndReleasesRequestsThatCrashUpstreams() throws Exception {
    String fingerprint = "0123456789abcdef".repeat(2);
    CrashReport.RunningRequest request =
        new CrashReport.RunningRequest(
            new RequestFingerprint(fingerprint), 1, "GET", "/fair?page=2", new AccountId("farm"));
    server.onBackend(
        backend -> {
          for (String process : List.of("i-1", "i-2", "i-3")) {
            backend.quarantine.recordCrash(
                new CrashReport(
                    process, new ServiceName("pasok"), new DaemonId("d1"), List.of(request)),
                1);
          }
          return null;
        });
    assertThat(tool.run("quarantine list").out())
        .containsMatch(fingerprint + " +blocked +.* 3 +pasok +farm +GET /fair\\?page=2 +d1");
    Result released = tool.run("quarantine release " + fingerprint);
    assertThat(released.out()).isEqualTo("request " + fingerprint + " released\n");
    assertThat(tool.run("quarantine release " + fingerprint).exitCode()).isEqualTo(0);
    assertThat(tool.run("quarantine list").out()).doesNotContain(fingerprint);
    assertThat(tool.run("quarantine list --all").out()).containsMatch(fingerprint + " +cleared");
    assertThat(tool.run("quarantine release " + "f".repeat(32)).exitCode()).isEqualTo(1);
    assertThat(tool.run("quarantine release").exitCode()).isEqualTo(2);
  }

  /** Guards against a wait that ends early or does not report the daemons that are behind. */
  @Test
  void waitsUntilPresetIsInForceEverywhere() throws Exception {
    server.onBackend(
        backend -> {
          backend.daemons = List.of(daemon("d1", 5, 100), daemon("d2", 4, 100));
          return null;
        });
    String use = "preset use peak --wait --wait-millis 1 --json";
    JsonNode behind = assertExit(6, use).json();
    assertThat(behind.path("daemonsBehind").toString()).isEqualTo("[\"d2\"]");
    assertThat(assertExit(6, "preset use peak --wait --wait-millis 1").out())
        .contains("not in force in: d1, d2");

    server.onBackend(
        backend -> {
          backend.daemons = List.of(daemon("d1", 99, 100), daemon("d2", 4, 60_000));
          backend.missingRelays = List.of(new VmId("control-3"));
          return null;
        });
    assertThat(assertExit(6, use).json().path("missingRelays").size()).isEqualTo(1);

    server.onBackend(backend -> backend.missingRelays = List.of());
    Result done = assertExit(0, "preset use peak --wait");
    assertThat(done.out()).contains("put in force in 1 live daemons");
    assertThat(done.out()).contains("not live: d2");
  }

  /** Guards against route commands that send an option in the wrong field. */
  @Test
  void managesRoutes() throws Exception {
    String set =
        "route set entries --method POST --path /entries --service pasok --class critical"
            + " --route-timeout-millis 900";
    assertThat(tool.run(set).exitCode()).isEqualTo(0);
    JsonNode route = tool.run("route list --json").json().at("/routes/0");
    assertThat(route.path("trafficClass").asText()).isEqualTo("CRITICAL");
    assertThat(route.path("open").asBoolean()).isFalse();
    assertThat(route.path("timeoutMillis").asInt()).isEqualTo(900);
    assertThat(tool.run("route delete entries").exitCode()).isEqualTo(0);
    assertThat(tool.run("route list").out().lines().count()).isEqualTo(1);
  }

  /** Guards against member commands that use the wrong API path. */
  @Test
  void managesMembers() throws Exception {
    String add =
        "member add control-2 --peer-address 127.0.0.1:9012 --relay-address 127.0.0.1:9011"
            + " --admin-address 127.0.0.1:9013";
    assertThat(tool.run(add).exitCode()).isEqualTo(0);
    assertThat(tool.run("member list").out()).containsMatch("control-2 +LEARNER");
    assertThat(tool.run("member promote control-2").exitCode()).isEqualTo(0);
    assertThat(tool.run("member list").out()).containsMatch("control-2 +VOTER");
    assertThat(tool.run("member remove control-2").exitCode()).isEqualTo(0);
    assertThat(tool.run("member remove control-2").exitCode()).isEqualTo(1);
  }

  /** Guards against an operator whose printed token does not work, or works after deletion. */
  @Test
  void managesOperators() throws Exception {
    String token = tool.run("operator set second --json").json().path("token").asText();
    ToolRunner second = new ToolRunner(server.endpoint(), token);
    assertThat(second.run("operator list").out()).contains("second");
    String hash = SecretGenerator.sha256Hex("token-chosen-by-hand");
    assertThat(tool.run("operator set third --token-hash " + hash).out()).doesNotContain("cso_");
    assertThat(tool.run("operator delete second").exitCode()).isEqualTo(0);
    assertThat(second.run("operator list").exitCode()).isEqualTo(4);
  }

  /** Guards against read-only commands that fail or omit data. */
  @Test
  void showsStatusAuditUpstreamsAndConfig() throws Exception {
    server.onBackend(
        backend -> {
          backend.daemons = List.of(daemon("pasok-1", 4, 120));
          backend.targets = List.of(target("pasok-1"));
          return null;
        });
    tool.run("account create fair --rate 10 --burst 20 --request-id first");
    Result status = tool.run("status");
    assertThat(status.out()).contains("quorum           yes");
    assertThat(status.out()).contains("1 attached, 1 behind");
    assertThat(status.out()).contains("1 up, 0 draining");
    assertThat(tool.run("status --json").json().path("leader").asText()).isEqualTo("control-1");
    assertThat(tool.run("upstream list").out()).containsMatch("pasok +pasok-1 +UP +300");
    assertThat(tool.run("audit").out()).containsMatch("admin .*accepted +CreateAccount");
    assertThat(tool.run("audit --from 2 --json").json().path("entries")).isEmpty();
    assertThat(tool.run("config show").json().at("/accounts/0/id").asText()).isEqualTo("fair");
  }

  /** Guards against a command without help, and help that needs a token or an endpoint. */
  @Test
  void printsHelpOfEveryCommand() {
    ToolRunner unconfigured = new ToolRunner("", "");
    Result all = unconfigured.run("--help");
    List<String> commands =
        all.out().lines().filter(line -> line.startsWith("  cornelspokectl ")).toList();
    assertThat(commands).hasSize(31);
    for (String command : commands) {
      String words = command.strip().substring("cornelspokectl ".length());
      Result help = unconfigured.run(words + " --help");
      assertWithMessage(words).that(help.exitCode()).isEqualTo(0);
      assertThat(help.out()).startsWith("Usage: cornelspokectl " + words);
      assertThat(help.out()).contains("--timeout-millis");
    }
  }

  private Result assertExit(int exitCode, String words) {
    Result result = tool.run(words);
    assertWithMessage(result.toString()).that(result.exitCode()).isEqualTo(exitCode);
    return result;
  }

  private static DaemonStatus daemon(String id, long revision, long ageMillis) {
    return new DaemonStatus(
        new DaemonId(id),
        new DataCentreId("pampanga"),
        new Revision(revision),
        ageMillis,
        new VmId("control-1"));
  }

  private static Target target(String daemon) {
    return new Target(
        new TargetId(daemon),
        new ServiceName("pasok"),
        new DaemonId(daemon),
        new DataCentreId("pampanga"),
        new Endpoint("127.0.0.1", 8081),
        300,
        TargetState.UP);
  }
}
