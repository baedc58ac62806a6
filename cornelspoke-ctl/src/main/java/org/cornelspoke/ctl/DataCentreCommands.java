package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;

/** Commands that evacuate and restore data centres. */
final class DataCentreCommands {

  private DataCentreCommands() {}

  @Parameters(
      commandDescription =
          "Send nothing more to the upstreams of a data centre; running requests complete")
  static final class Evacuate extends Command {

    @Parameter(description = "NAME", required = true)
    private String dataCentre;

    Evacuate(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      JsonNode response = context.submitChange("PUT", pathOf(dataCentre), null);
      return context.printAccepted(response, "data centre " + dataCentre + " evacuated");
    }
  }

  @Parameters(commandDescription = "Revoke the evacuation of a data centre")
  static final class Restore extends Command {

    @Parameter(description = "NAME", required = true)
    private String dataCentre;

    Restore(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      JsonNode response = context.submitChange("DELETE", pathOf(dataCentre), null);
      return context.printAccepted(response, "data centre " + dataCentre + " restored");
    }
  }

  @Parameters(commandDescription = "List the evacuated data centres")
  static final class ListAll extends Command {

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      JsonNode response = context.client().read("evacuations").deepCopy();
      for (JsonNode evacuation : response.path("evacuations")) {
        Instant start = Instant.ofEpochMilli(evacuation.path("startedAtMillis").asLong());
        ((ObjectNode) evacuation).put("startedAt", start.toString());
      }
      return context.printList(
          response,
          "evacuations",
          "DATA CENTRE",
          "dataCentre",
          "EVACUATED SINCE",
          "startedAt",
          "REVISION",
          "revision");
    }
  }

  private static String pathOf(String dataCentre) throws CommandException {
    return "evacuations/" + CommandContext.requirePathSegment("NAME", dataCentre);
  }
}
