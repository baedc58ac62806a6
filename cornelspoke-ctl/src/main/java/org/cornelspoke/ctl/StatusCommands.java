package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Read-only commands: status, audit trail, upstreams and the whole configuration. */
final class StatusCommands {

  private StatusCommands() {}

  @Parameters(commandDescription = "Show the state of control group, daemons and targets")
  static final class Status extends Command {

    Status(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      JsonNode status = context.client().read("status");
      Console console = context.console();
      if (console.isJsonOutput()) {
        console.printJson(status);
        return ExitCodes.OK;
      }
      console.printLine("answered by      " + status.path("answeredBy").asText());
      console.printLine("leader           " + status.path("leader").asText("unknown"));
      console.printLine(
          "quorum           " + (status.path("quorumConfirmed").asBoolean() ? "yes" : "NO"));
      console.printLine("term             " + status.path("term").asText());
      console.printLine("applied index    " + status.path("appliedIndex").asText());
      console.printLine("revision         " + status.path("appliedRevision").asText());
      console.printLine("preset in force  " + status.path("presetInForce").asText("none"));
      if (status.hasNonNull("storageFailure")) {
        console.printLine(
            "data folder      REFUSES WRITES: " + status.path("storageFailure").asText());
      }
      JsonNode daemons = status.path("daemons");
      console.printLine(
          "daemons          "
              + daemons.path("attached").asText()
              + " attached, "
              + daemons.path("behind").asText()
              + " behind, oldest proof of freshness "
              + daemons.path("oldestFreshnessAgeMillis").asText()
              + " ms");
      if (!daemons.path("missingRelays").isEmpty()) {
        console.printLine("missing relays   " + join(daemons.path("missingRelays")));
      }
      JsonNode targets = status.path("targets");
      console.printLine(
          "targets          "
              + targets.path("up").asText()
              + " up, "
              + targets.path("draining").asText()
              + " draining");
      console.printLine("");
      console.printTable(status.path("members"), MemberCommands.COLUMNS);
      return ExitCodes.OK;
    }

    private static String join(JsonNode names) {
      List<String> texts = new ArrayList<>();
      names.forEach(name -> texts.add(name.asText()));
      return String.join(", ", texts);
    }
  }

  @Parameters(commandDescription = "Show the audit trail, oldest entry first")
  static final class Audit extends Command {

    @Parameter(
        names = "--from",
        description = "Sequence of the first entry; without it the newest entries are shown")
    private Long from;

    @Parameter(names = "--limit", description = "Largest number of entries, at most 1000")
    private int limit = 100;

    Audit(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String query = "audit?limit=" + limit + (from == null ? "" : "&from=" + from);
      JsonNode response = context.client().read(query);
      if (!context.console().isJsonOutput()) {
        for (JsonNode entry : response.path("entries")) {
          Instant time = Instant.ofEpochMilli(entry.path("timestampMillis").asLong());
          ((ObjectNode) entry).put("time", time.toString());
        }
      }
      return context.printList(
          response,
          "entries",
          "SEQUENCE",
          "sequence",
          "TIME",
          "time",
          "OPERATOR",
          "operator",
          "REVISION",
          "revision",
          "OUTCOME",
          "outcome",
          "ACTION",
          "action",
          "ENTITY",
          "entity",
          "REQUEST ID",
          "requestId",
          "BEFORE",
          "before",
          "AFTER",
          "after");
    }
  }

  @Parameters(commandDescription = "List the upstreams and their daemons")
  static final class UpstreamList extends Command {

    UpstreamList(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      return context.printList(
          context.client().read("targets"),
          "targets",
          "SERVICE",
          "service",
          "TARGET",
          "id",
          "STATE",
          "state",
          "SLOTS",
          "slots",
          "DAEMON",
          "daemon",
          "DATA CENTRE",
          "dataCentre",
          "LINK ENDPOINT",
          "linkEndpoint");
    }
  }

  @Parameters(commandDescription = "Print the whole configuration as JSON, without secrets")
  static final class ConfigShow extends Command {

    ConfigShow(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      context.console().printJson(context.client().read("config"));
      return ExitCodes.OK;
    }
  }
}
