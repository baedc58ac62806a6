package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Commands for client accounts. */
final class AccountCommands {

  private static final String[] COLUMNS = {
    "ACCOUNT", "id",
    "RATE/S", "rateTokensPerSecond",
    "BURST", "burstTokens",
    "WEIGHT", "weight",
    "REVISION", "revision"
  };

  private AccountCommands() {}

  @Parameters(commandDescription = "Create a client account")
  static final class Create extends Command {

    @Parameter(description = "ACCOUNT", required = true)
    private String account;

    @Parameter(names = "--rate", required = true, description = "Requests per second, fleet-wide")
    private Double rate;

    @Parameter(names = "--burst", required = true, description = "Requests admitted at once")
    private Double burst;

    @Parameter(names = "--weight", description = "Share in fair queueing, 1 or more")
    private int weight = 1;

    Create(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      ObjectNode body =
          JsonNodeFactory.instance
              .objectNode()
              .put("id", account)
              .put("rateTokensPerSecond", rate)
              .put("burstTokens", burst)
              .put("weight", weight);
      return context.printAccepted(
          context.submitChange("POST", "accounts", body), "account " + account + " created");
    }
  }

  @Parameters(commandDescription = "List the client accounts")
  static final class ListAll extends Command {

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      return context.printList(context.client().read("accounts"), "accounts", COLUMNS);
    }
  }

  @Parameters(commandDescription = "Show a client account and its keys")
  static final class Show extends Command {

    @Parameter(description = "ACCOUNT", required = true)
    private String account;

    Show(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "accounts/" + CommandContext.requirePathSegment("ACCOUNT", account);
      ObjectNode response = context.client().read(path).deepCopy();
      JsonNode keys = context.client().read(path + "/keys").path("keys");
      if (context.console().isJsonOutput()) {
        response.set("keys", keys);
        context.console().printJson(response);
        return ExitCodes.OK;
      }
      context.console().printTable(JsonNodeFactory.instance.arrayNode().add(response), COLUMNS);
      context.console().printLine("");
      context.console().printTable(keys, "KEY", "id", "REVISION", "revision");
      return ExitCodes.OK;
    }
  }

  @Parameters(commandDescription = "Change limits of a client account; what is not given stays")
  static final class Set extends Command {

    @Parameter(description = "ACCOUNT", required = true)
    private String account;

    @Parameter(names = "--rate", description = "Requests per second, fleet-wide")
    private Double rate;

    @Parameter(names = "--burst", description = "Requests admitted at once")
    private Double burst;

    @Parameter(names = "--weight", description = "Share in fair queueing, 1 or more")
    private Integer weight;

    Set(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      if (rate == null && burst == null && weight == null) {
        throw CommandException.usage("give at least one of --rate, --burst, --weight");
      }
      String path = "accounts/" + CommandContext.requirePathSegment("ACCOUNT", account);
      JsonNode current = context.client().read(path);
      ObjectNode body = CommandContext.toEntity(current);
      body.remove("id");
      if (rate != null) {
        body.put("rateTokensPerSecond", rate);
      }
      if (burst != null) {
        body.put("burstTokens", burst);
      }
      if (weight != null) {
        body.put("weight", weight);
      }
      // The body repeats values read before, so it must not overwrite a concurrent change.
      JsonNode response = context.submitChange("PUT", path, body, context.baseRevision(current));
      return context.printAccepted(response, "account " + account + " changed");
    }
  }

  @Parameters(commandDescription = "Delete a client account and withdraw its keys")
  static final class Delete extends Command {

    @Parameter(description = "ACCOUNT", required = true)
    private String account;

    Delete(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "accounts/" + CommandContext.requirePathSegment("ACCOUNT", account);
      return context.printAccepted(
          context.submitChange("DELETE", path, null), "account " + account + " deleted");
    }
  }
}
