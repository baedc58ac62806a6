package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/** Commands for routes. */
final class RouteCommands {

  private RouteCommands() {}

  @Parameters(commandDescription = "List the routes")
  static final class ListAll extends Command {

    ListAll(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      return context.printList(
          context.client().read("routes"),
          "routes",
          "ROUTE",
          "id",
          "METHOD",
          "method",
          "PATH PREFIX",
          "pathPrefix",
          "SERVICE",
          "service",
          "CLASS",
          "trafficClass",
          "OPEN",
          "open",
          "REPEATABLE",
          "repeatable",
          "TIMEOUT MS",
          "timeoutMillis",
          "REVISION",
          "revision");
    }
  }

  @Parameters(commandDescription = "Create or replace a route")
  static final class Set extends Command {

    @Parameter(description = "ROUTE", required = true)
    private String route;

    @Parameter(names = "--method", description = "HTTP method, or * for any")
    private String method = "*";

    @Parameter(names = "--path", required = true, description = "Start of the path")
    private String path;

    @Parameter(names = "--service", required = true, description = "Service that gets the requests")
    private String service;

    @Parameter(
        names = "--class",
        required = true,
        description = "critical, interactive or bulk; critical is shed last")
    private String trafficClass;

    @Parameter(names = "--open", description = "No client key is needed")
    private boolean open;

    @Parameter(names = "--repeatable", description = "Running a request twice does no harm")
    private boolean repeatable;

    @Parameter(
        names = "--route-timeout-millis",
        required = true,
        description = "Longest time for a request without a deadline of its own")
    private long timeoutMillis;

    Set(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      ObjectNode body =
          JsonNodeFactory.instance
              .objectNode()
              .put("method", method)
              .put("pathPrefix", path)
              .put("service", service)
              .put("trafficClass", trafficClass.toUpperCase(Locale.ROOT))
              .put("open", open)
              .put("repeatable", repeatable)
              .put("timeoutMillis", timeoutMillis);
      String apiPath = "routes/" + CommandContext.requirePathSegment("ROUTE", route);
      return context.printAccepted(
          context.submitChange("PUT", apiPath, body), "route " + route + " set");
    }
  }

  @Parameters(commandDescription = "Delete a route")
  static final class Delete extends Command {

    @Parameter(description = "ROUTE", required = true)
    private String route;

    Delete(CommonOptions common) {
      super(common);
    }

    @Override
    int run(CommandContext context) throws CommandException {
      String path = "routes/" + CommandContext.requirePathSegment("ROUTE", route);
      return context.printAccepted(
          context.submitChange("DELETE", path, null), "route " + route + " deleted");
    }
  }
}
