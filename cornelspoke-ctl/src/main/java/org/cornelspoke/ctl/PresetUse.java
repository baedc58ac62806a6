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

/** Puts a preset in force and can wait until every live daemon has it. */
@Parameters(commandDescription = "Put a preset in force")
final class PresetUse extends Command {

  private static final int POLL_MILLIS = 200;

  // The default of targetLeaseMillis: a daemon that has proved nothing for longer counts as gone.
  private static final long LIVE_MILLIS = 10_000;

  @Parameter(description = "PRESET", required = true)
  private String preset;

  @Parameter(names = "--wait", description = "Wait until it is in force in every live daemon")
  private boolean wait;

  @Parameter(names = "--wait-millis", description = "Longest wait, in milliseconds")
  private int waitMillis = 30_000;

  PresetUse(CommonOptions common) {
    super(common);
  }

  @Override
  int run(Session session) throws CommandException {
    ObjectNode body = JsonNodeFactory.instance.objectNode().put("name", preset);
    JsonNode answer = session.change("PUT", "preset-in-force", body);
    long revision = answer.path("revision").asLong();
    String what = "preset " + preset + " put in force";
    if (!wait) {
      return session.accepted(answer, what);
    }
    Coverage coverage;
    try {
      coverage = await(session, revision);
    } catch (CommandException e) {
      // The change itself is accepted, so the exit code must not suggest a resend.
      throw new CommandException(
          ExitCodes.NOT_IN_FORCE_EVERYWHERE,
          "daemons-unknown",
          what + " (revision " + revision + "), but the daemons can't be read: " + e.getMessage());
    }
    if (session.console().json()) {
      ObjectNode json = answer.deepCopy();
      json.put("daemonsInForce", coverage.inForce);
      json.set("daemonsBehind", names(coverage.behind));
      json.set("daemonsNotLive", names(coverage.notLive));
      json.set("missingRelays", names(coverage.missingRelays));
      session.console().printJson(json);
    } else {
      session.accepted(answer, what + " in " + coverage.inForce + " live daemons");
      print(session.console(), "not in force in: ", coverage.behind);
      print(session.console(), "not live: ", coverage.notLive);
      print(session.console(), "no answer from relay: ", coverage.missingRelays);
    }
    return coverage.complete() ? ExitCodes.OK : ExitCodes.NOT_IN_FORCE_EVERYWHERE;
  }

  private Coverage await(Session session, long revision) throws CommandException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    Coverage coverage = new Coverage(session.client().read("daemons"), revision);
    while (!coverage.complete() && System.nanoTime() < deadline) {
      try {
        Thread.sleep(POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return coverage;
      }
      coverage = new Coverage(session.client().read("daemons"), revision);
    }
    return coverage;
  }

  private static void print(Console console, String text, List<String> names) {
    if (!names.isEmpty()) {
      console.line(text + String.join(", ", names));
    }
  }

  private static ArrayNode names(List<String> names) {
    ArrayNode array = JsonNodeFactory.instance.arrayNode();
    names.forEach(array::add);
    return array;
  }

  /** Which daemons have applied a revision. */
  private static final class Coverage {

    private final List<String> behind = new ArrayList<>();
    private final List<String> notLive = new ArrayList<>();
    private final List<String> missingRelays = new ArrayList<>();
    private int inForce;

    Coverage(JsonNode answer, long revision) {
      for (JsonNode daemon : answer.path("daemons")) {
        String id = daemon.path("id").asText();
        if (daemon.path("freshnessAgeMillis").asLong() > LIVE_MILLIS) {
          notLive.add(id);
        } else if (daemon.path("appliedRevision").asLong() < revision) {
          behind.add(id);
        } else {
          inForce++;
        }
      }
      answer.path("missingRelays").forEach(relay -> missingRelays.add(relay.asText()));
    }

    /** A missing relay may have live daemons that nobody has asked. */
    boolean complete() {
      return behind.isEmpty() && missingRelays.isEmpty();
    }
  }
}
