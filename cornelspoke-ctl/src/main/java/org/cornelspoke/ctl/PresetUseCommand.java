package org.cornelspoke.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Puts a preset in force and optionally waits until every live daemon has applied it. */
@Parameters(commandDescription = "Put a preset in force")
final class PresetUseCommand extends Command {

  private static final int POLL_INTERVAL_MILLIS = 200;

  // Default of targetLeaseMillis; a daemon without a newer proof of freshness is not live.
  private static final long MAX_LIVE_FRESHNESS_AGE_MILLIS = 10_000;

  @Parameter(description = "PRESET", required = true)
  private String preset;

  @Parameter(names = "--wait", description = "Wait until it is in force in every live daemon")
  private boolean waitForDaemons;

  @Parameter(names = "--wait-millis", description = "Longest wait, in milliseconds")
  private int maxWaitMillis = 30_000;

  PresetUseCommand(CommonOptions common) {
    super(common);
  }

  @Override
  int run(CommandContext context) throws CommandException {
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("name", preset);
    JsonNode response = context.submitChange("PUT", "preset-in-force", body);
    long revision = response.path("revision").asLong();
    String summary = "preset " + preset + " put in force";
    if (!waitForDaemons) {
      return context.printAccepted(response, summary);
    }
    RevisionCoverage coverage;
    try {
      coverage = awaitCoverage(context, revision);
    } catch (CommandException e) {
      // The change was accepted, so the exit code must not suggest resending it.
      throw new CommandException(
          ExitCodes.NOT_IN_FORCE_EVERYWHERE,
          "daemons-unknown",
          summary
              + " (revision "
              + revision
              + "), but the daemons can't be read: "
              + e.getMessage());
    }
    if (context.console().isJsonOutput()) {
      ObjectNode json = response.deepCopy();
      json.put("daemonsInForce", coverage.inForceCount);
      json.set("daemonsBehind", toArray(coverage.behind));
      json.set("daemonsNotLive", toArray(coverage.notLive));
      json.set("missingRelays", toArray(coverage.missingRelays));
      context.console().printJson(json);
    } else {
      context.printAccepted(response, summary + " in " + coverage.inForceCount + " live daemons");
      printNames(context.console(), "not in force in: ", coverage.behind);
      printNames(context.console(), "not live: ", coverage.notLive);
      printNames(context.console(), "no answer from relay: ", coverage.missingRelays);
    }
    return coverage.isComplete() ? ExitCodes.OK : ExitCodes.NOT_IN_FORCE_EVERYWHERE;
  }

  private RevisionCoverage awaitCoverage(CommandContext context, long revision)
      throws CommandException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
    RevisionCoverage coverage = new RevisionCoverage(context.client().read("daemons"), revision);
    while (!coverage.isComplete() && System.nanoTime() < deadlineNanos) {
      try {
        Thread.sleep(POLL_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return coverage;
      }
      coverage = new RevisionCoverage(context.client().read("daemons"), revision);
    }
    return coverage;
  }

  private static void printNames(Console console, String text, List<String> names) {
    if (!names.isEmpty()) {
      console.printLine(text + String.join(", ", names));
    }
  }

  private static ArrayNode toArray(List<String> names) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    names.forEach(array::add);
    return array;
  }

  /** The daemons that have applied a revision, and those that have not. */
  private static final class RevisionCoverage {

    private final List<String> behind = new ArrayList<>();
    private final List<String> notLive = new ArrayList<>();
    private final List<String> missingRelays = new ArrayList<>();
    private int inForceCount;

    RevisionCoverage(JsonNode response, long revision) {
      for (JsonNode daemon : response.path("daemons")) {
        String id = daemon.path("id").asText();
        if (daemon.path("freshnessAgeMillis").asLong() > MAX_LIVE_FRESHNESS_AGE_MILLIS) {
          notLive.add(id);
        } else if (daemon.path("appliedRevision").asLong() < revision) {
          behind.add(id);
        } else {
          inForceCount++;
        }
      }
      response.path("missingRelays").forEach(relay -> missingRelays.add(relay.asText()));
    }

    /**
     * Returns false if a relay is missing, since it may have live daemons with an unknown revision.
     */
    boolean isComplete() {
      return behind.isEmpty() && missingRelays.isEmpty();
    }
  }
}
