package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;

/** Commands that list and release requests that crash upstreams. */
final class QuarantineCommands {

  private QuarantineCommands() {}

  @Parameters(
      commandDescription = "List the requests that are refused because they crash upstreams")
  static final class ListAll extends Command {

    @Parameter(
        names = "--all",
        description = "also those that are only suspected, and those that have been cleared")
    private boolean all;

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      ObjectNode response = context.client().read("quarantine").deepCopy();
      ArrayNode requests = response.arrayNode();
      for (JsonNode request : response.path("requests")) {
        if (all || isRefused(request)) {
          requests.add(describe((ObjectNode) request));
        }
      }
      response.set("requests", requests);
      return context.printList(
          response,
          "requests",
          "FINGERPRINT",
          "fingerprint",
          "STATE",
          "state",
          "SINCE",
          "changedAt",
          "CRASHES",
          "crashCount",
          "SERVICE",
          "service",
          "ACCOUNT",
          "account",
          "REQUEST",
          "request",
          "LAST CRASH AT",
          "lastDaemon");
    }

    private static boolean isRefused(JsonNode request) {
      String state = request.path("state").asText();
      return state.equals("held") || state.equals("blocked");
    }

    private static ObjectNode describe(ObjectNode request) {
      Instant changedAt = Instant.ofEpochMilli(request.path("changedAtMillis").asLong());
      JsonNode crashes = request.path("crashes");
      return request
          .put("changedAt", changedAt.toString())
          .put(
              "request",
              request.path("method").asText() + " " + request.path("requestTarget").asText())
          .put("lastDaemon", crashes.path(crashes.size() - 1).path("daemon").asText());
    }
  }

  @Parameters(
      commandDescription =
          "Forward a request again that was refused because it crashes upstreams; new crashes"
              + " count anew")
  static final class Release extends Command {

    @Parameter(description = "FINGERPRINT", required = true)
    private String fingerprint;

    Release(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "quarantine/" + CommandContext.requirePathSegment("FINGERPRINT", fingerprint);
      JsonNode response = context.submitChange("DELETE", path, null);
      return context.printAccepted(response, "request " + fingerprint + " released");
    }
  }
}
