package org.cornelspoke.ctl;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cornelspoke.ctl.ToolRunner.Result;
import org.cornelspoke.daemon.admin.AdminServerFixture;
import org.cornelspoke.daemon.admin.BackendUnavailableException;
import org.cornelspoke.daemon.admin.FakeAdminBackend;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ConfigChange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests exit codes, resends and failing endpoints. */
class FailureTest {

  private static final String CREATE = "account create fair --rate 10 --burst 20";

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

  /** Guards against usage errors with another exit code or any output besides one error line. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "account",
        "bogus",
        "account bogus",
        "account create",
        "account create fair --rate ten --burst 1",
        "account create fair --rate 10",
        "account show a/b",
        "account list --unknown",
        "account list --endpoints localhost:80",
        "account list --endpoints 127.0.0.1",
        "account list --endpoints 127.0.0.1:99999",
        "account list --timeout-millis 0",
        "account list --token-file /does/not/exist",
        "account delete fair --request-id a/b",
        "account delete fair --revision -1",
        "account delete fair --revision x",
        "account set fair",
        "key give fair --request-id r1"
      })
  void exitsWithTwoOnUsageErrors(String words) throws Exception {
    Result result = tool.run(words);
    assertWithMessage(result.toString()).that(result.exitCode()).isEqualTo(2);
    assertThat(result.err().lines().count()).isEqualTo(1);
    assertThat(result.out()).isEmpty();
  }

  /** Guards against a missing endpoint or token that is reported as an unreachable server. */
  @Test
  void needsEndpointsAndToken() {
    assertThat(new ToolRunner("").run("status").exitCode()).isEqualTo(2);
    assertThat(new ToolRunner(server.endpoint(), "").run("status").exitCode()).isEqualTo(2);
  }

  /** Guards against a token file that is ignored or whose line terminator is sent. */
  @Test
  void readsTokenFile(@TempDir Path folder) throws Exception {
    Path file = Files.writeString(folder.resolve("token"), FakeAdminBackend.TOKEN + "\n");
    ToolRunner other = new ToolRunner("127.0.0.1:1", "wrong");
    String options = " --token-file " + file + " --endpoints " + server.endpoint();
    assertThat(other.run("account list" + options).exitCode()).isEqualTo(0);
    assertThat(other.run(options.strip() + " account list").exitCode()).isEqualTo(0);
  }

  /** Guards against a refusal, a conflict and an invalid token having the same exit code. */
  @Test
  void tellsRefusalsApart() throws Exception {
    assertThat(tool.run(CREATE).exitCode()).isEqualTo(0);
    Result rule = tool.run(CREATE);
    assertThat(rule.exitCode()).isEqualTo(1);
    assertThat(rule.err()).isEqualTo("cornelspokectl: account exists\n");
    assertThat(tool.run("account show none").exitCode()).isEqualTo(1);

    Result conflict = tool.run("account delete fair --revision 4");
    assertThat(conflict.exitCode()).isEqualTo(3);
    assertThat(conflict.err()).contains("revision 5 was made by admin: CreateAccount");
    JsonNode json = tool.run("account delete fair --revision 4 --json").json();
    assertThat(json.path("winner").path("action").asText()).isEqualTo("CreateAccount");

    Result unauthorised = new ToolRunner(server.endpoint(), "wrong").run("status");
    assertThat(unauthorised.exitCode()).isEqualTo(4);
  }

  /** Guards against a read-modify-write command that overwrites a concurrent change. */
  @Test
  void detectsChangeBetweenReadAndWrite() throws Exception {
    tool.run(CREATE);
    ConfigChange other = new ConfigChange.SetAccount(new Account(new AccountId("fair"), 11, 20, 1));
    server.onBackend(
        backend ->
            backend.beforeSubmit =
                () -> {
                  backend.beforeSubmit = () -> {};
                  backend.submit(
                      new ChangeRequest(
                          new RequestId("other"),
                          new OperatorId("admin"),
                          Optional.empty(),
                          0,
                          other));
                });
    Result late = tool.run("account set fair --burst 5");
    assertThat(late.exitCode()).isEqualTo(3);
    assertThat(late.err()).contains("SetAccount");
    JsonNode account = tool.run("account show fair --json").json();
    assertThat(account.path("rateTokensPerSecond").asInt()).isEqualTo(11);
    assertThat(account.path("burstTokens").asInt()).isEqualTo(20);
  }

  /** Guards against a tool that gives up at the first endpoint that is down or silent. */
  @Test
  void triesNextEndpoint() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      String endpoints =
          closedEndpoint() + ",127.0.0.1:" + silent.getLocalPort() + "," + server.endpoint();
      Result result =
          new ToolRunner(endpoints).run(CREATE + " --timeout-millis 2000 --request-id r1");
      assertWithMessage(result.toString()).that(result.exitCode()).isEqualTo(0);
    }
  }

  /** Guards against a lost response that causes a second change instead of the first response. */
  @Test
  void resendsWithSameRequestIdWhenAnswerIsLost() throws Exception {
    try (ResponseDroppingProxy proxy = new ResponseDroppingProxy(server.endpoint())) {
      ToolRunner toolBehindProxy = new ToolRunner(proxy.endpoint() + "," + server.endpoint());
      Result result = toolBehindProxy.run(CREATE + " --json");
      assertWithMessage(result.toString()).that(result.exitCode()).isEqualTo(0);
      assertThat(proxy.droppedResponses()).isEqualTo(1);
      assertThat(result.json().path("revision").asLong()).isEqualTo(5);
    }
    int changes = server.onBackend(backend -> backend.auditTrail().size());
    assertThat(changes).isEqualTo(1);
  }

  /** Guards against an unknown outcome that is reported as a refusal or a success. */
  @Test
  void printsRequestIdWhenOutcomeIsUnknown() throws Exception {
    server.onBackend(backend -> backend.dropResponses = true);
    Result lost = tool.run(CREATE + " --timeout-millis 50");
    assertThat(lost.exitCode()).isEqualTo(5);
    assertThat(lost.err()).contains("may or may not be applied");
    String requestId = lost.err().replaceFirst("(?s).*--request-id (\\S+)\\s*", "$1");
    server.onBackend(backend -> backend.dropResponses = false);
    Result resent = tool.run(CREATE + " --json --request-id " + requestId);
    assertThat(resent.json().path("revision").asLong()).isEqualTo(5);
    int changes = server.onBackend(backend -> backend.auditTrail().size());
    assertThat(changes).isEqualTo(1);
  }

  /** Guards against "may be applied" if the change is certainly not applied. */
  @Test
  void saysThatNothingIsAppliedWhenThatIsCertain() throws Exception {
    Result unreachable = new ToolRunner(closedEndpoint()).run(CREATE + " --timeout-millis 50");
    assertThat(unreachable.exitCode()).isEqualTo(5);
    assertThat(unreachable.err()).contains("the change is not applied");
    server.onBackend(
        backend ->
            backend.unavailable =
                Optional.of(new BackendUnavailableException("no quorum", false, 1)));
    Result noQuorum = tool.run(CREATE + " --timeout-millis 50 --json");
    assertThat(noQuorum.exitCode()).isEqualTo(5);
    assertThat(noQuorum.json().path("error").asText()).isEqualTo("unreachable");
    assertThat(tool.run("status").out()).contains("quorum           NO");
  }

  /** Guards against a VM that has stepped aside because of its disk and is not shown as such. */
  @Test
  void showsWhyTheDataFolderRefusesWrites() throws Exception {
    assertThat(tool.run("status").out()).doesNotContain("data folder");
    server.onBackend(
        backend -> backend.storageFailure = Optional.of("appending 9 bytes to log-1 failed"));
    assertThat(tool.run("status").out())
        .contains("data folder      REFUSES WRITES: appending 9 bytes to log-1 failed");
    assertThat(tool.run("status --json").json().path("storageFailure").asText())
        .isEqualTo("appending 9 bytes to log-1 failed");
  }

  /** Guards against a failed wait that is reported as a change to resend. */
  @Test
  void saysThatChangeIsAcceptedWhenDaemonsCannotBeRead() throws Exception {
    server.onBackend(
        backend ->
            backend.daemonsUnavailable =
                Optional.of(new BackendUnavailableException("no relay", false, 1)));
    Result result = tool.run("preset use peak --wait --timeout-millis 300");
    assertThat(result.exitCode()).isEqualTo(6);
    assertThat(result.err()).contains("preset peak put in force (revision 5), but");
  }

  /** Guards against a resend that prints a key or token whose hash was not stored. */
  @Test
  void neverPrintsSecretThatWasNotStored() throws Exception {
    tool.run(CREATE);
    server.onBackend(backend -> backend.dropResponses = true);
    String give = "key give fair --key-id k1 --request-id give-1 --timeout-millis 500";
    Result lost = tool.run(give);
    assertThat(lost.exitCode()).isEqualTo(5);
    String set = "operator set second --request-id set-1 --timeout-millis 500";
    assertThat(tool.run(set).exitCode()).isEqualTo(5);
    server.onBackend(backend -> backend.dropResponses = false);
    Result resent = tool.run(give);
    assertThat(resent.exitCode()).isEqualTo(1);
    assertThat(resent.out()).isEmpty();
    assertThat(resent.err()).contains("withdraw it and give a new one");
    Result reset = tool.run(set);
    assertThat(reset.exitCode()).isEqualTo(1);
    assertThat(reset.out()).isEmpty();
    Result fresh = tool.run("key give fair --key-id k2 --request-id give-2");
    assertThat(fresh.out()).contains("csk_");
  }

  private static String closedEndpoint() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }
}
